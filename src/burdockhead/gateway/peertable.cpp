#include <burdockhead/gateway/peertable.h>

#include <algorithm>
#include <tuple>

namespace burdockhead {

namespace {

// Peers that each beat goes to, and records in a message: with both, a record of one of fifty
// gateways comes by twice a beat, in datagrams of about 1,500 bytes.
constexpr std::size_t fanout = 4;
constexpr std::size_t recordsInMessage = 24;
// A beat that stands still for as long means that the gateway is dead: six beats, in which a
// lost datagram or two don't count.
constexpr Milliseconds deadAfter{2500};
// A gateway that was heard of still counts in the division of a bound for as long: behind a
// partition it lives on and uses its part. Longer than partitions usually last.
constexpr Milliseconds countedAfterDeath{60000};
// A fleet that a gateway assumes at its start, before it has heard of the others.
constexpr std::size_t assumedFleet = 16;
constexpr Milliseconds assumedFor{3000};

} // namespace

PeerTable::PeerTable(PeerRecord own, std::vector<SocketAddress> seeds, Random seed)
    : m_local(std::move(own))
    , m_seeds(std::move(seeds))
    , m_random(seed)
{}

bool PeerTable::isAlive(const Peer &peer, TimePoint now) const
{
    return now - peer.m_lastHeartbeatAt < deadAfter;
}

std::vector<SocketAddress> PeerTable::beginHeartbeat(TimePoint now)
{
    m_startedAt = std::min(m_startedAt, now);
    ++m_local.m_heartbeat;
    std::vector<SocketAddress> targets = livePeers(now);
    std::shuffle(targets.begin(), targets.end(), m_random);
    targets.resize(std::min(targets.size(), fanout));
    // A seed now and then, so that parts of the fleet that lost each other meet again.
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
    // A dead one isn't passed on, or those that have dropped it would take it for alive again.
    std::vector<PeerRecord> records;
    for (const auto &[name, peer] : m_peers) {
        if (isAlive(peer, now))
            records.push_back(peer.m_record);
    }
    std::shuffle(records.begin(), records.end(), m_random);
    records.resize(std::min(records.size(), recordsInMessage - 1));
    records.push_back(m_local);
    return records;
}

void PeerTable::receive(const std::vector<PeerRecord> &records, TimePoint now)
{
    const auto age = [](const PeerRecord &record) {
        return std::tuple(record.m_incarnation, record.m_heartbeat);
    };
    for (const PeerRecord &record : records) {
        if (record.m_name == m_local.m_name)
            continue;
        const auto [item, isNew] = m_peers.try_emplace(record.m_name, Peer{record, now});
        if (isNew || age(record) <= age(item->second.m_record))
            continue;
        item->second = {record, now};
    }
    std::erase_if(m_peers, [&](const auto &item) {
        return now - item.second.m_lastHeartbeatAt > countedAfterDeath;
    });
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

GatewayPosition PeerTable::localPosition(TimePoint now) const
{
    GatewayPosition place;
    for (const auto &[name, peer] : m_peers) {
        if (!isAlive(peer, now) || peer.m_record.m_state != PeerState::Ready)
            continue;
        ++place.m_count;
        place.m_index += name < m_local.m_name ? 1 : 0;
    }
    return place;
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
    std::size_t size = 1;
    for (const auto &[name, peer] : m_peers) {
        if (now - peer.m_lastHeartbeatAt < countedAfterDeath)
            ++size;
    }
    return now < m_startedAt + assumedFor ? std::max(size, assumedFleet) : size;
}

} // namespace burdockhead
