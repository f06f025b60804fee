#pragma once

#include <burdockhead/gateway/endpointtable.h>
#include <burdockhead/net/httpexchange.h>
#include <burdockhead/net/shortcall.h>
#include <burdockhead/observe/linesink.h>

#include <memory>
#include <string>
#include <vector>

namespace burdockhead {

// Path prefix of a relayed request; the target at the engine follows it.
inline constexpr const char *relayPrefix = "/relay";
// Header that holds the engine's address.
inline constexpr const char *relayToHeader = "Relay-To";

// Relays orders of a group's coordinator to engines. No rank runs on a gateway's VM, so a VM that
// freezes right after it has had a group held doesn't freeze a rank too.
class OrderRelay
{
public:
    OrderRelay(EventLoop &loop, HttpClientPool &client, const EndpointTable &endpoints,
               LineSink &log);

    // Responds with the engine's status, 504 if the engine doesn't respond, and 404 if the address
    // belongs to no known endpoint.
    void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
    bool isEndpoint(const std::string &address) const;

    EventLoop &m_loop;
    HttpClientPool &m_client;
    const EndpointTable &m_endpoints;
    LineSink &m_log;
    std::vector<std::unique_ptr<ShortCall>> m_calls;
};

} // namespace burdockhead
