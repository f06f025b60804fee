#include <burdockhead/gateway/storeknowledgequery.h>

namespace burdockhead {

namespace {

// A gateway that starts isn't ready before; others reply within milliseconds.
constexpr Milliseconds replyTimeout{150};
constexpr int statusOk = 200;

} // namespace

StoreKnowledgeQuery::StoreKnowledgeQuery(EventLoop &loop, HttpClientPool &client,
                                         std::function<void(const StoreKnowledge &)> onState,
                                         std::function<void()> onDone)
    : m_loop(loop)
    , m_client(client)
    , m_onState(std::move(onState))
    , m_onDone(std::move(onDone))
{}

void StoreKnowledgeQuery::start(const std::vector<SocketAddress> &gateways,
                                const std::string &target)
{
    if (isRunning())
        return;
    if (gateways.empty()) {
        m_onDone();
        return;
    }
    m_calls.clear();
    m_pendingCalls = gateways.size();
    for (const SocketAddress &gateway : gateways)
        m_calls.push_back(std::make_unique<ShortCall>(m_loop, m_client, gateway, "GET", target, "",
                                                      Clock::now() + replyTimeout,
                                                      [this](ShortCall &call) { onReply(call); }));
}

void StoreKnowledgeQuery::onReply(const ShortCall &call)
{
    if (call.status() == statusOk) {
        if (const auto state = readStoreKnowledge(call.body(), Clock::now()))
            m_onState(*state);
    }
    if (--m_pendingCalls == 0)
        m_onDone();
}

} // namespace burdockhead
