#pragma once

#include <burdockhead/http/httpserver.h>

#include <memory>

namespace burdockhead {

// The platform's object API and VM list in memory, with faults on order. POST /faults takes
// {"down":b}, {"slow_ms":n}, {"lose_answer_next":n}, {"vm_lag_ms":n}, {"take_copy":true} and
// {"restore_copy":true}, which comes back from the copy in the next era.
class PlatformStandIn
{
public:
    explicit PlatformStandIn(const SocketAddress &listen);
    ~PlatformStandIn();

    // Opens the port; false when it is taken.
    bool start();

    // Answers every call with 503 while down.
    void setDown(bool down);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
