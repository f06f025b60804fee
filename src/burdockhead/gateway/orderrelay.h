#pragma once

#include <burdockhead/gateway/endpointtable.h>
#include <burdockhead/net/httpexchange.h>
#include <burdockhead/net/shortcall.h>
#include <burdockhead/observe/linesink.h>

#include <memory>
#include <string>
#include <vector>

namespace burdockhead {

// What a request to a relay begins with; the target at the engine follows.
inline constexpr const char *relayPrefix = "/relay";
// The header with the engine's address.
inline constexpr const char *relayToHeader = "Relay-To";

// Passes orders of a group's coordinator on to engines. No rank runs on a gateway's VM, so one that
// freezes right after it has had a group held takes none of its ranks along.
class OrderRelay
{
public:
    OrderRelay(EventLoop &loop, HttpClientPool &client, const EndpointTable &endpoints,
               LineSink &lines);

    // Answers with the engine's status: 504 when it doesn't answer, 404 for an address of no
    // endpoint that is known.
    void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
    bool isEndpoint(const std::string &address) const;

    EventLoop &m_loop;
    HttpClientPool &m_client;
    const EndpointTable &m_endpoints;
    LineSink &m_lines;
    std::vector<std::unique_ptr<ShortCall>> m_calls;
};

} // namespace burdockhead
