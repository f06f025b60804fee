#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/transport/frame.h>

#include <functional>
#include <memory>

namespace burdockhead {

class WorkerPool;

// How the link that carries an attempt was lost.
enum class LinkLoss {
    NeverConnected, // The dispatch was never sent, so the request did not run.
    Broken,         // The dispatch may have arrived, so the request may have run.
};

// Callbacks for the events of one attempt. Called on a worker thread with no lock held.
struct AttemptHandlers
{
    std::function<void(const Frame &)> m_onFrame;
    std::function<void(LinkLoss)> m_onLoss; // Called at most once, and last.
};

// Keeps the entry's connections to agents, each opened on first use. Thread-safe.
class AgentLinks
{
public:
    AgentLinks(WorkerPool &pool, HelloFrame hello);
    // Closes all connections without calling any handler.
    ~AgentLinks();
    AgentLinks(const AgentLinks &) = delete;
    AgentLinks &operator=(const AgentLinks &) = delete;

    // Sends a dispatch and passes the agent's replies to the handlers until unsubscribe().
    void dispatch(const SocketAddress &address, DispatchFrame frame, AttemptHandlers handlers);

    // Tells the agent to cancel the attempt and drops its handlers.
    void cancel(const SocketAddress &address, const AttemptId &attempt);

    // Drops the attempt's handlers without telling the agent.
    void unsubscribe(const SocketAddress &address, const AttemptId &attempt);

    // Returns the number of established links.
    std::size_t openLinkCount() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace burdockhead
