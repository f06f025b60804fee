#pragma once

#include <burdockhead/gateway/storeknowledge.h>
#include <burdockhead/net/shortcall.h>

#include <functional>
#include <memory>
#include <vector>

namespace burdockhead {

// Asks a few other gateways for their state at a time.
class StoreKnowledgeQuery
{
public:
    // `onState` is called for each gateway that replies, and `onDone` when all have or the time is
    // over.
    StoreKnowledgeQuery(EventLoop &loop, HttpClientPool &client,
                        std::function<void(const StoreKnowledge &)> onState,
                        std::function<void()> onDone);

    // Starts unless a query is in progress; calls onDone() at once without gateways.
    void start(const std::vector<SocketAddress> &gateways, const std::string &target);

    bool isRunning() const { return m_pendingCalls > 0; }

private:
    void onReply(const ShortCall &call);

    EventLoop &m_loop;
    HttpClientPool &m_client;
    const std::function<void(const StoreKnowledge &)> m_onState;
    const std::function<void()> m_onDone;
    std::vector<std::unique_ptr<ShortCall>> m_calls;
    std::size_t m_pendingCalls = 0;
};

} // namespace burdockhead
