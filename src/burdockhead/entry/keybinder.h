#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/idempotency/claim.h>

#include <functional>
#include <optional>
#include <string>

namespace burdockhead {

// Binds the idempotency keys of workspaces for good, over all entries.
class KeyBinder
{
public:
    // Gets the key's binding, or none with the reason.
    using Handler = std::function<void(std::optional<Binding>, const Failure &)>;

    virtual ~KeyBinder() = default;

    // Binds the key as proposed unless it is bound already, and reports the binding that
    // holds. The handler comes later, on another thread.
    virtual void bind(const std::string &workspace, const std::string &key, const Binding &proposal,
                      TimePoint deadline, Handler handler) = 0;

    // Reports the key's binding, if it has one.
    virtual void find(const std::string &workspace, const std::string &key, TimePoint deadline,
                      Handler handler) = 0;
};

} // namespace burdockhead
