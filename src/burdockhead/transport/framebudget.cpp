#include <burdockhead/observe/log.h>
#include <burdockhead/transport/framebudget.h>
#include <burdockhead/transport/frameconnection.h>

#include <algorithm>
#include <utility>

namespace burdockhead {

namespace {

// A peer that sends nothing of its frame for this long has stalled.
constexpr Milliseconds headwayTime{250};
// Frames of up to this size find room where larger ones don't: for these, the divisor's fraction of
// the memory is kept free.
constexpr std::size_t ordinaryBytes = 65536;
constexpr std::size_t ordinaryShareDivisor = 8;
constexpr Milliseconds logInterval{1000};

} // namespace

bool FrameBudget::add(const std::shared_ptr<FrameConnection> &connection, TimePoint now)
{
    Closing closing;
    const bool isAdded = addLocked(connection, now, closing);
    for (const auto &peer : closing)
        peer->close();
    return isAdded;
}

bool FrameBudget::addLocked(const std::shared_ptr<FrameConnection> &connection, TimePoint now,
                            Closing &closing)
{
    const std::lock_guard lock(m_mutex);
    if (m_peers.size() >= m_limits.m_maxConnections) {
        logClosed("connections", now);
        const auto oldest = std::min_element(
            m_peers.begin(), m_peers.end(), [](const auto &left, const auto &right) {
                const auto key = [](const Peer &peer) {
                    return std::pair(peer.m_hasSentFrame || peer.m_isClosing, peer.m_headwayAt);
                };
                return key(left.second) < key(right.second);
            });
        if (oldest == m_peers.end() || oldest->second.m_hasSentFrame || oldest->second.m_isClosing)
            return false;
        giveUp(oldest->second, closing);
    }
    m_peers[connection.get()] = {connection, 0, now};
    return true;
}

void FrameBudget::remove(const FrameConnection *connection)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(connection);
    if (found == m_peers.end())
        return;
    m_heldBytes -= found->second.m_heldBytes;
    m_peers.erase(found);
}

bool FrameBudget::hold(const FrameConnection *connection, std::size_t bytes, TimePoint now)
{
    Closing closing;
    const bool hasRoom = holdLocked(connection, bytes, now, closing);
    for (const auto &peer : closing)
        peer->close();
    return hasRoom;
}

bool FrameBudget::holdLocked(const FrameConnection *connection, std::size_t bytes, TimePoint now,
                             Closing &closing)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(connection);
    if (found == m_peers.end())
        return true;
    Peer &peer = found->second;
    const std::size_t share =
        bytes <= ordinaryBytes ? 0 : m_limits.m_maxBytes / ordinaryShareDivisor;
    if (bytes > peer.m_heldBytes
        && m_heldBytes + (bytes - peer.m_heldBytes) > m_limits.m_maxBytes - share) {
        giveUpStalled(connection, now, closing);
        return false;
    }
    m_heldBytes = m_heldBytes - peer.m_heldBytes + bytes;
    peer.m_heldBytes = bytes;
    peer.m_headwayAt = now;
    return true;
}

void FrameBudget::recordFrame(const FrameConnection *connection)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(connection);
    if (found != m_peers.end())
        found->second.m_hasSentFrame = true;
}

void FrameBudget::giveUpStalled(const FrameConnection *newcomer, TimePoint now, Closing &closing)
{
    for (auto &[connection, peer] : m_peers) {
        const bool isStalled = peer.m_heldBytes > 0 && now - peer.m_headwayAt >= headwayTime;
        if (connection != newcomer && isStalled && !peer.m_isClosing) {
            logClosed("bytes", now);
            giveUp(peer, closing);
        }
    }
}

void FrameBudget::giveUp(Peer &peer, Closing &closing)
{
    peer.m_isClosing = true;
    if (auto connection = peer.m_connection.lock())
        closing.push_back(std::move(connection));
}

// A line for each would let peers fill the log.
void FrameBudget::logClosed(const char *reason, TimePoint now)
{
    if (now < m_nextLogAt)
        return;
    logWarning("peers_given_up",
               {{"reason", reason}, {"connections", m_peers.size()}, {"frame_bytes", m_heldBytes}});
    m_nextLogAt = now + logInterval;
}

} // namespace burdockhead
