#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/random.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/gateway/storeprotocol.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace burdockhead {

// Whether a gateway accepts requests.
enum class PeerState : std::uint8_t {
    Starting,
    Ready,
    Leaving,
};

// State of a gateway, as published by it and forwarded by others.
struct PeerRecord
{
    ProcessName m_name;
    std::uint64_t m_incarnation = 0; // Increases with each start of the process.
    std::uint64_t m_heartbeat = 0;   // Increases while the process runs.
    PeerState m_state = PeerState::Starting;
    SocketAddress m_clientAddress;         // Where clients connect.
    SocketAddress m_gossipAddress;         // Where datagrams of other gateways arrive.
    StoreRevisions m_newestRevisions = {}; // Store revisions that it has applied.

    friend bool operator==(const PeerRecord &, const PeerRecord &) = default;
};

// Index of a gateway among the ready ones, ordered by name, and their number.
struct GatewayPosition
{
    std::size_t m_index = 0;
    std::size_t m_count = 1;

    friend bool operator==(const GatewayPosition &, const GatewayPosition &) = default;
};

// A record of a gateway's former run, for the gateway itself.
struct PeerReminder
{
    SocketAddress m_target;
    PeerRecord m_record;

    friend bool operator==(const PeerReminder &, const PeerReminder &) = default;
};

// Gossip membership of gateways: each heartbeat goes to a few of them, with a sample of the known
// records. A gateway whose heartbeat doesn't advance is considered dead.
//
// Incarnations come from the time of day, which can go back. A gateway that starts while its clock
// is behind is taken for an older run than its former one, until another gateway reminds it of that
// one and it raises its incarnation.
class PeerTable
{
public:
    PeerTable(PeerRecord localRecord, std::vector<SocketAddress> seeds, Random seed);

    // Tells that this gateway has no predecessor, nor the others: all start for the first time.
    void setFirstStart() { m_hasPredecessor = false; }

    void setState(PeerState state) { m_local.m_state = state; }
    void setNewestRevisions(const StoreRevisions &changes) { m_local.m_newestRevisions = changes; }
    void setSeeds(std::vector<SocketAddress> seeds) { m_seeds = std::move(seeds); }
    const PeerRecord &local() const { return m_local; }

    // Starts the next heartbeat: its targets and its records.
    std::vector<SocketAddress> beginHeartbeat(TimePoint now);
    std::vector<PeerRecord> recordsToSend(TimePoint now);

    // Merges the records that another gateway sent.
    void receive(const std::vector<PeerRecord> &records, TimePoint now);

    // Returns the reminders to send since the last call.
    std::vector<PeerReminder> takeReminders();

    // Returns the gossip addresses of the live peers.
    std::vector<SocketAddress> livePeers(TimePoint now) const;

    // Returns the client addresses of all live and ready gateways.
    std::vector<SocketAddress> readyClients(TimePoint now) const;

    // Returns the names of the other gateways that are live and ready.
    std::vector<ProcessName> readyPeers(TimePoint now) const;

    GatewayPosition localPosition(TimePoint now) const;

    // Returns the newest store revisions that any live gateway has applied.
    StoreRevisions newestRevisions(TimePoint now) const;

    // Returns the number of gateways that a global limit is divided among: all that were seen
    // recently, and at least an assumed minimum right after the start.
    std::size_t gatewayCount(TimePoint now) const;

    // Returns this gateway's part of a limit over all gateways on what they do in any window of
    // that length. 0 after the start until what its predecessor did is outside of the window and
    // the other gateways have counted this one for as long, and after a pause of the process until
    // it knows the gateways that have started meanwhile.
    double shareOfLimit(Milliseconds window, TimePoint now) const;

private:
    struct Peer
    {
        PeerRecord m_record;
        TimePoint m_lastHeartbeatAt;
    };

    bool isAlive(const Peer &peer, TimePoint now) const;
    void raiseIncarnation(const PeerRecord &formerRun);
    bool mayHavePeers() const;
    void onFirstPeer(TimePoint now);

    PeerRecord m_local;
    std::vector<SocketAddress> m_seeds;
    Random m_random;
    std::optional<TimePoint> m_startedAt; // Of the first heartbeat.
    bool m_hasPredecessor = true;
    TimePoint m_learnsSince;  // The start, the end of the last pause, or when the first peer came.
    TimePoint m_countedSince; // When others may have begun to count this gateway.
    TimePoint m_lastOwnHeartbeatAt;
    std::map<ProcessName, Peer> m_peers;
    std::map<ProcessName, PeerReminder> m_reminders;
};

} // namespace burdockhead
