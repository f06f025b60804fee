#include <burdockhead/gateway/peertable.h>

#include <algorithm>
#include <tuple>

namespace burdockhead {

namespace {

// Targets of each heartbeat, and records in a message: with both, the record of each of fifty
// gateways arrives twice per heartbeat interval, in datagrams of about 1,500 bytes.
constexpr std::size_t fanout = 4;
constexpr std::size_t maxRecordsPerMessage = 24;
// A gateway whose heartbeat doesn't advance for this time is dead: six heartbeats, so that one or
// two lost datagrams don't matter.
constexpr Milliseconds deadAfter{2500};
// A gateway still counts in the division of global limits for this time after its last heartbeat:
// behind a partition it may run on and use its share. Longer than partitions last.
constexpr Milliseconds countedFor{600000};
// Time in which all gateways in touch with each other hear of one that has started.
constexpr Milliseconds learningTime{3000};
// Number of gateways that is assumed at the start, before others are known, and for how long.
constexpr std::size_t assumedGateways = 16;
constexpr Milliseconds assumedFor{3000};

} // namespace

PeerTable::PeerTable(PeerRecord localRecord, std::vector<SocketAddress> seeds, Random seed)
    : m_local(std::move(localRecord))
    , m_seeds(std::move(seeds))
    , m_random(seed)
{}

bool PeerTable::isAlive(const Peer &peer, TimePoint now) const
{
    return now - peer.m_lastHeartbeatAt < deadAfter;
}

std::vector<SocketAddress> PeerTable::beginHeartbeat(TimePoint now)
{
    const bool isStart = !m_startedAt.has_value();
    if (isStart) {
        m_startedAt = now;
        m_countedSince = now;
    }
    if (isStart || now - m_lastOwnHeartbeatAt >= deadAfter)
        m_learnsSince = now;
    m_lastOwnHeartbeatAt = now;
    ++m_local.m_heartbeat;
    std::vector<SocketAddress> targets = livePeers(now);
    std::shuffle(targets.begin(), targets.end(), m_random);
    targets.resize(std::min(targets.size(), fanout));
    // Includes a seed now and then, so that groups of gateways that lost each other reconnect.
    if (!m_seeds.empty() && (targets.size() < fanout || m_random() % 8 == 0)) {
        const SocketAddress &seed = m_seeds[m_random() % m_seeds.size()];
        if (seed != m_local.m_gossipAddress
            && std::find(targets.begin(), targets.end(), seed) == targets.end())
            targets.push_back(seed);
    }
    return targets;
}

std::vector<PeerRecord> PeerTable::recordsToSend(TimePoint now)
{
    // A dead peer's record isn't forwarded, or gateways that have dropped it would consider it
    // alive again.
    std::vector<PeerRecord> records;
    for (const auto &[name, peer] : m_peers) {
        if (isAlive(peer, now))
            records.push_back(peer.m_record);
    }
    std::shuffle(records.begin(), records.end(), m_random);
    records.resize(std::min(records.size(), maxRecordsPerMessage - 1));
    records.push_back(m_local);
    return records;
}

void PeerTable::receive(const std::vector<PeerRecord> &records, TimePoint now)
{
    const auto version = [](const PeerRecord &record) {
        return std::tuple(record.m_incarnation, record.m_heartbeat);
    };
    const bool wasIsolated = m_peers.empty();
    for (const PeerRecord &record : records) {
        if (record.m_name == m_local.m_name) {
            if (version(record) > version(m_local))
                raiseIncarnation(record);
            continue;
        }
        const auto [item, isNew] = m_peers.try_emplace(record.m_name, Peer{record, now});
        if (!isNew && record.m_incarnation < item->second.m_record.m_incarnation)
            m_reminders[record.m_name] = {record.m_gossipAddress, item->second.m_record};
        if (isNew || version(record) <= version(item->second.m_record))
            continue;
        item->second = {record, now};
    }
    std::erase_if(m_peers, [&](const auto &item) {
        return now - item.second.m_lastHeartbeatAt > countedFor;
    });
    if (wasIsolated && !m_peers.empty())
        onFirstPeer(now);
}

// The other gateways ignore this one until its incarnation is above that of its former run.
void PeerTable::raiseIncarnation(const PeerRecord &formerRun)
{
    m_local.m_incarnation = formerRun.m_incarnation + 1;
}

std::vector<PeerReminder> PeerTable::takeReminders()
{
    std::vector<PeerReminder> reminders;
    for (const auto &[name, reminder] : m_reminders)
        reminders.push_back(reminder);
    m_reminders.clear();
    return reminders;
}

// Others may have divided limits without this gateway until now.
void PeerTable::onFirstPeer(TimePoint now)
{
    m_learnsSince = now;
    if (m_startedAt && now >= *m_startedAt + learningTime) {
        m_countedSince = now;
        m_hasPredecessor = true;
    }
}

std::vector<SocketAddress> PeerTable::livePeers(TimePoint now) const
{
    std::vector<SocketAddress> addresses;
    for (const auto &[name, peer] : m_peers) {
        if (isAlive(peer, now))
            addresses.push_back(peer.m_record.m_gossipAddress);
    }
    return addresses;
}

std::vector<SocketAddress> PeerTable::readyClients(TimePoint now) const
{
    std::vector<SocketAddress> addresses;
    if (m_local.m_state == PeerState::Ready)
        addresses.push_back(m_local.m_clientAddress);
    for (const auto &[name, peer] : m_peers) {
        if (isAlive(peer, now) && peer.m_record.m_state == PeerState::Ready)
            addresses.push_back(peer.m_record.m_clientAddress);
    }
    return addresses;
}

std::vector<ProcessName> PeerTable::readyPeers(TimePoint now) const
{
    std::vector<ProcessName> names;
    for (const auto &[name, peer] : m_peers) {
        if (isAlive(peer, now) && peer.m_record.m_state == PeerState::Ready)
            names.push_back(name);
    }
    return names;
}

GatewayPosition PeerTable::localPosition(TimePoint now) const
{
    GatewayPosition position;
    for (const auto &[name, peer] : m_peers) {
        if (!isAlive(peer, now) || peer.m_record.m_state != PeerState::Ready)
            continue;
        ++position.m_count;
        position.m_index += name < m_local.m_name ? 1 : 0;
    }
    return position;
}

StoreRevisions PeerTable::newestRevisions(TimePoint now) const
{
    StoreRevisions newest = m_local.m_newestRevisions;
    for (const auto &[name, peer] : m_peers) {
        for (std::size_t kind = 0; isAlive(peer, now) && kind < storeCollectionCount; ++kind)
            newest[kind] = std::max(newest[kind], peer.m_record.m_newestRevisions[kind]);
    }
    return newest;
}

std::size_t PeerTable::gatewayCount(TimePoint now) const
{
    std::size_t count = 1;
    for (const auto &[name, peer] : m_peers) {
        if (now - peer.m_lastHeartbeatAt < countedFor)
            ++count;
    }
    const bool hasJustStarted = !m_startedAt || now < *m_startedAt + assumedFor;
    return hasJustStarted ? std::max(count, assumedGateways) : count;
}

bool PeerTable::mayHavePeers() const
{
    return std::any_of(m_seeds.begin(), m_seeds.end(), [this](const SocketAddress &seed) {
        return seed != m_local.m_gossipAddress;
    });
}

double PeerTable::shareOfLimit(Milliseconds window, TimePoint now) const
{
    if (!m_startedAt)
        return 0;
    const Milliseconds learning = mayHavePeers() ? learningTime : Milliseconds(0);
    if (now < m_learnsSince + learning)
        return 0;
    if (m_hasPredecessor && now < m_countedSince + window + learning)
        return 0;
    // A gateway that hears of no other one can't tell whether it is alone.
    if (m_peers.empty() && mayHavePeers() && now < *m_startedAt + countedFor)
        return 0;
    return 1 / static_cast<double>(gatewayCount(now));
}

} // namespace burdockhead
