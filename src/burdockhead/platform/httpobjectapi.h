#pragma once

#include <burdockhead/platform/objectapi.h>

#include <memory>

namespace burdockhead {

// The object API over HTTP. Calls go to the given servers in turn; a read that fails on one
// is tried on the next, a write is sent at most once. Safe to use from any thread.
class HttpObjectApi : public ObjectApi
{
public:
    // Takes base URLs such as "http://10.0.0.1:8200"; a trailing slash is ignored.
    explicit HttpObjectApi(std::vector<std::string> baseUrls);
    ~HttpObjectApi() override;

    ReadAnswer read(const std::string &kind, const std::string &name, TimePoint deadline) override;
    WriteAnswer write(const PlatformObject &object, TimePoint deadline) override;
    ReadAnswer watch(const std::string &kind, const std::string &name, std::uint64_t after,
                     TimePoint deadline) override;
    std::optional<std::vector<Vm>> listVms(TimePoint deadline) override;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
