#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/transport/frame.h>

#include <functional>
#include <memory>

namespace burdockhead {

class WorkerPool;

// What became of the link that carries an attempt.
enum class LinkLoss {
    NeverConnected, // The dispatch was not sent: the request did not run.
    Broken,         // The dispatch may have arrived.
};

// Takes what happens to one attempt. Called on a worker, never while a lock is held.
struct AttemptSink
{
    std::function<void(const Frame &)> m_onFrame;
    std::function<void(LinkLoss)> m_onLoss; // At most once; nothing follows it.
};

// The entry's connections to agents, opened when first needed and kept. Safe from any thread.
class AgentLinks
{
public:
    AgentLinks(WorkerPool &pool, HelloFrame own);
    // Closes all connections; sinks hear nothing more.
    ~AgentLinks();
    AgentLinks(const AgentLinks &) = delete;
    AgentLinks &operator=(const AgentLinks &) = delete;

    // Sends a dispatch and reports what comes back to the sink until forget().
    void dispatch(const SocketAddress &link, DispatchFrame frame, AttemptSink sink);

    // Tells the agent that nobody waits for the attempt, and forgets it.
    void cancel(const SocketAddress &link, const AttemptId &attempt);

    // Ends reporting for an attempt.
    void forget(const SocketAddress &link, const AttemptId &attempt);

    // Links that are open now.
    std::size_t openLinks() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace burdockhead
