#include <burdockhead/gateway/orderrelay.h>
#include <burdockhead/http/httprequest.h>

#include <algorithm>
#include <string_view>

namespace burdockhead {

namespace {

// Response timeout of the engine; somewhat shorter than the coordinator's.
constexpr Milliseconds engineTimeout{45};
constexpr int statusNotFound = 404;
constexpr int statusGatewayTimeout = 504;

} // namespace

OrderRelay::OrderRelay(EventLoop &loop, HttpClientPool &client, const EndpointTable &endpoints,
                       LineSink &log)
    : m_loop(loop)
    , m_client(client)
    , m_endpoints(endpoints)
    , m_log(log)
{}

bool OrderRelay::isEndpoint(const std::string &address) const
{
    const auto &endpoints = m_endpoints.endpoints();
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto &item) {
        return item.second->m_registration.m_address.toString() == address;
    });
}

void OrderRelay::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    std::erase_if(m_calls, [](const auto &call) { return call->isDone(); });
    const HttpHead &request = exchange->head();
    const std::string engineAddress = findHeader(request.m_headers, relayToHeader).value_or("");
    const auto address = SocketAddress::parse(engineAddress);
    if (!request.m_target.starts_with(relayPrefix) || !address || !isEndpoint(engineAddress)) {
        m_log.add("relay_refused", {{"target", request.m_target}, {"to", engineAddress}});
        exchange->answer(statusNotFound, {}, "");
        return;
    }
    const std::string target = request.m_target.substr(std::string_view(relayPrefix).size());
    m_calls.push_back(std::make_unique<ShortCall>(
        m_loop, m_client, *address, "POST", target, exchange->body(), Clock::now() + engineTimeout,
        [this, exchange, engineAddress](ShortCall &call) {
            m_log.add("order_relayed",
                      {{"to", engineAddress}, {"status", std::to_string(call.status())}});
            exchange->answer(call.status() == 0 ? statusGatewayTimeout : call.status(), {}, "");
        }));
}

} // namespace burdockhead
