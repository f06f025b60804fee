#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace burdockhead {

class FrameConnection;

// What all peers of a listener together may make the process hold.
struct FrameBudgetLimits
{
    std::size_t m_maxBytes = std::numeric_limits<std::size_t>::max(); // Of frames that arrive.
    std::size_t m_maxConnections = std::numeric_limits<std::size_t>::max();

    friend bool operator==(const FrameBudgetLimits &, const FrameBudgetLimits &) = default;
};

// Bounds the memory and the descriptors that a listener's peers make the process hold. If room is
// short, peers are disconnected that stall in the middle of a frame, or that haven't sent one yet.
// Thread-safe.
class FrameBudget
{
public:
    explicit FrameBudget(const FrameBudgetLimits &limits)
        : m_limits(limits)
    {}

    // Adds a connection, at the cost of another one that has sent no frame if need be; false if
    // there is no room for it.
    bool add(const std::shared_ptr<FrameConnection> &connection, TimePoint now);
    void remove(const FrameConnection *connection);

    // Sets the bytes of the frame that arrives on the connection. False if there is no room, though
    // there may be soon.
    bool hold(const FrameConnection *connection, std::size_t bytes, TimePoint now);

    // The connection has received a whole frame.
    void recordFrame(const FrameConnection *connection);

private:
    struct Peer
    {
        std::weak_ptr<FrameConnection> m_connection;
        std::size_t m_heldBytes = 0;
        TimePoint m_headwayAt;
        bool m_hasSentFrame = false;
        bool m_isClosing = false;
    };
    using Peers = std::map<const FrameConnection *, Peer>;

    // Connections to be closed, and to be destroyed, without the lock.
    using Closing = std::vector<std::shared_ptr<FrameConnection>>;

    bool addLocked(const std::shared_ptr<FrameConnection> &connection, TimePoint now,
                   Closing &closing);
    bool holdLocked(const FrameConnection *connection, std::size_t bytes, TimePoint now,
                    Closing &closing);
    void giveUpStalled(const FrameConnection *newcomer, TimePoint now, Closing &closing);
    static void giveUp(Peer &peer, Closing &closing);
    void logClosed(const char *reason, TimePoint now);

    const FrameBudgetLimits m_limits;
    std::mutex m_mutex;
    Peers m_peers;
    std::size_t m_heldBytes = 0;
    TimePoint m_nextLogAt;
};

} // namespace burdockhead
