#pragma once

#include <burdockhead/base/endpointrun.h>
#include <burdockhead/net/httpclientpool.h>

#include <functional>
#include <map>
#include <vector>

namespace burdockhead {

// Finds out whether an endpoint whose connection broke is gone or has only cut it, by connecting to
// its address. A connection that is made is kept for requests.
class EndpointProber
{
public:
    // `onGone` is called for each endpoint that can't be connected to, before those who wait for
    // the result.
    EndpointProber(HttpClientPool &client, std::function<void(const EndpointRun &)> onGone);

    // Calls `onDone` when it is known whether the endpoint is gone, but not before this returns.
    // Probes of one endpoint at the same time share a connection.
    void probe(const EndpointRun &endpoint, const SocketAddress &address,
               std::function<void()> onDone);

private:
    void finish(const EndpointRun &endpoint, bool isGone);

    HttpClientPool &m_client;
    const std::function<void(const EndpointRun &)> m_onGone;
    std::map<EndpointRun, std::vector<std::function<void()>>> m_waiting;
};

} // namespace burdockhead
