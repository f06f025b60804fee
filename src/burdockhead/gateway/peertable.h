#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/random.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/gateway/storeprotocol.h>

#include <cstdint>
#include <map>
#include <vector>

namespace burdockhead {

// Whether a gateway takes requests.
enum class PeerState : std::uint8_t {
    Starting,
    Ready,
    Leaving,
};

// What a gateway tells of itself, and others pass on.
struct PeerRecord
{
    ProcessName m_name;
    std::uint64_t m_incarnation = 0; // Grows with each start of the process.
    std::uint64_t m_heartbeat = 0;   // Grows while the process lives.
    PeerState m_state = PeerState::Starting;
    SocketAddress m_clientAddress;         // Where clients connect.
    SocketAddress m_gossipAddress;         // Where it hears from other gateways.
    StoreRevisions m_newestRevisions = {}; // That it has taken from the store.

    friend bool operator==(const PeerRecord &, const PeerRecord &) = default;
};

// The place of a gateway among those that take requests, in the order of their names.
struct GatewayPosition
{
    std::size_t m_index = 0;
    std::size_t m_count = 1;

    friend bool operator==(const GatewayPosition &, const GatewayPosition &) = default;
};

// The other gateways, by gossip: each beat goes to a few of them with what is known of all. A
// gateway whose beat stands still is taken for dead.
class PeerTable
{
public:
    PeerTable(PeerRecord own, std::vector<SocketAddress> seeds, Random seed);

    void setState(PeerState state) { m_local.m_state = state; }
    void setNewestRevisions(const StoreRevisions &changes) { m_local.m_newestRevisions = changes; }
    void setSeeds(std::vector<SocketAddress> seeds) { m_seeds = std::move(seeds); }
    const PeerRecord &local() const { return m_local; }

    // Begins the next beat: where to send, and what.
    std::vector<SocketAddress> beginHeartbeat(TimePoint now);
    std::vector<PeerRecord> recordsToSend(TimePoint now);

    // Takes what another gateway sent.
    void receive(const std::vector<PeerRecord> &records, TimePoint now);

    // Addresses of the other gateways that live.
    std::vector<SocketAddress> livePeers(TimePoint now) const;

    // Where clients may connect: every gateway that lives and is ready.
    std::vector<SocketAddress> readyClients(TimePoint now) const;

    GatewayPosition localPosition(TimePoint now) const;

    // The newest changes of the store that any gateway which lives has taken.
    StoreRevisions newestRevisions(TimePoint now) const;

    // Gateways that a bound on the whole fleet is divided among: all that were heard of lately,
    // and not fewer than the smallest fleet while this one has only just started.
    std::size_t gatewayCount(TimePoint now) const;

private:
    struct Peer
    {
        PeerRecord m_record;
        TimePoint m_lastHeartbeatAt;
    };

    bool isAlive(const Peer &peer, TimePoint now) const;

    PeerRecord m_local;
    std::vector<SocketAddress> m_seeds;
    Random m_random;
    TimePoint m_startedAt = TimePoint::max();
    std::map<ProcessName, Peer> m_peers;
};

} // namespace burdockhead
