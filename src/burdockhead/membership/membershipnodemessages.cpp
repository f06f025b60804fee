// Message handling of MembershipNode.
#include <burdockhead/configuration/configurationvalue.h>
#include <burdockhead/membership/membershipnode.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr std::size_t maxGossipPerMessage = 12;
constexpr std::size_t mismatchesBeforeSync = 3; // Pending gossip resolves short-lived differences.
constexpr std::size_t smallTableSize = 4; // A process that has just started synchronizes at once.

std::uint64_t hashOf(const std::vector<MemberRecord> &records)
{
    std::uint64_t hash = 1;
    for (const MemberRecord &record : records)
        hash ^= record.hash();
    return hash;
}

} // namespace

void MembershipNode::send(const ProcessName &peer, const SocketAddress &address,
                          ControlMessageType type, std::string payload, TimePoint now)
{
    m_outgoing.push_back(
        {peer, address, type, std::move(payload), now, now + m_options.m_times.m_callTimeout});
}

void MembershipNode::exchangeWith(const MemberRecord &peer, TimePoint now)
{
    exchangeAt(peer.m_name, peer.m_controlAddress, now);
}

void MembershipNode::exchangeAt(const ProcessName &peer, const SocketAddress &address,
                                TimePoint now)
{
    if (peer == m_options.m_self.m_name)
        return;
    if (!m_pendingExchanges.insert(peer).second) {
        m_repeatExchanges.insert(peer);
        return;
    }
    send(peer, address, ControlMessageType::Exchange, encode(makeExchangeRequest(peer)), now);
}

// Includes the peer's record if the peer is suspect or dead, so that it can refute that.
std::vector<MemberRecord> MembershipNode::gossipFor(const ProcessName &peer, VmRole role)
{
    std::vector<MemberRecord> gossip;
    if (m_options.m_self.m_role == VmRole::Entry && role == VmRole::Entry)
        gossip = m_table.takeGossip(maxGossipPerMessage);
    const MemberRecord *record = m_table.find(peer);
    if (record != nullptr && record->m_health != MemberHealth::Alive)
        gossip.push_back(*record);
    return gossip;
}

ExchangeRequest MembershipNode::makeExchangeRequest(const ProcessName &peer)
{
    ExchangeRequest request;
    const MemberRecord *record = m_table.find(peer);
    request.m_sender = m_table.self();
    const auto acknowledged = m_acknowledgedRevisions.find(peer);
    request.m_isBrief = acknowledged != m_acknowledgedRevisions.end()
                        && acknowledged->second == request.m_sender.m_revision;
    if (record != nullptr) {
        request.m_peerIncarnation = record->m_incarnation.m_value;
        request.m_peerRevision = record->m_revision;
    }
    request.m_gossip = gossipFor(peer, record == nullptr ? VmRole::Entry : record->m_role);
    request.m_heldVersion = heldVersion();
    if (m_options.m_self.m_role == VmRole::Entry)
        request.m_tableHash = m_table.tableHash();
    else
        request.m_entriesHash = hashOf(entriesIn(m_options.m_self.m_dataCentre));
    return request;
}

std::string MembershipNode::handleMessage(ControlMessageType type, const std::string &payload,
                                          TimePoint now)
{
    updateState(now);
    if (type == ControlMessageType::Exchange) {
        if (const auto request = decodeExchangeRequest(payload))
            return handleExchange(*request, now);
    } else if (const auto message = decodeSyncMessage(payload)) {
        return handleSync(*message, now);
    }
    return {};
}

// Replaces a brief record with the full one; returns false if that is unknown here.
bool MembershipNode::resolveBriefSender(ExchangeRequest &request) const
{
    if (!request.m_isBrief)
        return true;
    const MemberRecord *known = m_table.find(request.m_sender.m_name);
    if (known == nullptr || known->m_incarnation != request.m_sender.m_incarnation
        || known->m_revision != request.m_sender.m_revision)
        return false;
    request.m_sender = *known;
    return true;
}

// An agent stores only the entries of its data centre, because it gets no updates about the
// others.
void MembershipNode::mergeSender(const MemberRecord &sender, TimePoint now)
{
    if (m_options.m_self.m_role == VmRole::Entry || isEntryInLocalDataCentre(sender))
        m_table.merge(sender, now);
}

std::string MembershipNode::handleExchange(ExchangeRequest request, TimePoint now)
{
    const bool isFromEntry = request.m_sender.m_role == VmRole::Entry;
    const bool isSenderKnown = resolveBriefSender(request);
    if (isSenderKnown)
        mergeSender(request.m_sender, now);
    for (const MemberRecord &record : request.m_gossip)
        m_table.merge(record, now);
    m_heartbeatDeadlines[request.m_sender.m_name] = now + m_options.m_times.m_heartbeatTimeout;
    if (isSenderKnown)
        recordPeerVersion(request.m_sender, request.m_heldVersion, now);
    ExchangeReply reply;
    reply.m_needsFullRecord = !isSenderKnown;
    reply.m_sender = m_table.self();
    reply.m_isBrief = request.m_peerIncarnation == reply.m_sender.m_incarnation.m_value
                      && request.m_peerRevision == reply.m_sender.m_revision;
    reply.m_gossip = gossipFor(request.m_sender.m_name, request.m_sender.m_role);
    reply.m_heldVersion = heldVersion();
    reply.m_isReady = m_isReady;
    reply.m_isNonAuthoritative = !isCurrent(now) || !m_isAuthoritative;
    if (const auto &claim = m_freshness.latestClaim()) {
        reply.m_hasClaim = true;
        reply.m_claimVersion = claim->m_version;
        const auto age = std::chrono::ceil<std::chrono::microseconds>(now - claim->m_asOf);
        reply.m_claimAgeMicroseconds = std::max<std::int64_t>(0, age.count());
    }
    reply.m_configuration = transferFor(request.m_heldVersion);
    if (isFromEntry && m_options.m_self.m_role == VmRole::Entry
        && request.m_tableHash != m_table.tableHash())
        reply.m_bucketHashes.assign(m_table.bucketHashes().begin(), m_table.bucketHashes().end());
    if (isSenderKnown && !isFromEntry)
        addEntriesIfChanged(request, reply);
    return encode(reply);
}

void MembershipNode::addEntriesIfChanged(const ExchangeRequest &request, ExchangeReply &reply)
{
    const DataCentreName &dataCentre = request.m_sender.m_dataCentre;
    const std::vector<MemberRecord> &entries = entriesIn(dataCentre);
    if (request.m_entriesHash == hashOf(entries))
        return;
    reply.m_hasEntries = true;
    reply.m_entries = entries;
    for (const MemberRecord *dead : m_table.deadEntries()) {
        if (dead->m_dataCentre == dataCentre)
            reply.m_entries.push_back(*dead);
    }
}

std::string MembershipNode::handleSync(const SyncMessage &message, TimePoint now)
{
    SyncMessage reply;
    reply.m_buckets = message.m_buckets;
    for (const MemberRecord &record : message.m_records)
        m_table.mergeWithoutGossip(record, now);
    for (const std::uint64_t bucket : message.m_buckets) {
        for (const MemberRecord *record : m_table.bucket(bucket))
            reply.m_records.push_back(*record);
    }
    return encode(reply);
}

std::optional<ConfigurationTransfer> MembershipNode::transferFor(std::uint64_t peerVersion) const
{
    const ConfigurationPointer &held = m_store.latest();
    if (!held || held->m_version <= peerVersion)
        return std::nullopt;
    ConfigurationTransfer transfer;
    transfer.m_version = held->m_version;
    if (const auto patch = m_store.patchFrom(peerVersion)) {
        transfer.m_baseVersion = peerVersion;
        transfer.m_patch = *patch;
    } else {
        transfer.m_patch = TextPatch::between("", held->m_text);
    }
    return transfer;
}

// Records the version that a peer holds, and starts an exchange at once if it is newer.
void MembershipNode::recordPeerVersion(const MemberRecord &peer, std::uint64_t version,
                                       TimePoint now)
{
    if (peer.m_role == VmRole::Entry) {
        KnownVersion &known = m_knownVersions[peer.m_name];
        if (peer.m_incarnation.m_value > known.m_incarnation.m_value)
            known = {peer.m_incarnation, version};
        else if (peer.m_incarnation == known.m_incarnation)
            known.m_version = std::max(known.m_version, version);
    }
    if (version > heldVersion())
        exchangeWith(peer, now);
}

void MembershipNode::onExchangeEnded(const OutgoingMessage &message, TimePoint now)
{
    if (message.m_type != ControlMessageType::Exchange)
        return;
    m_pendingExchanges.erase(message.m_peer);
    if (m_repeatExchanges.erase(message.m_peer) > 0)
        exchangeAt(message.m_peer, message.m_address, now);
}

void MembershipNode::onReply(const OutgoingMessage &message, const std::string &payload,
                             TimePoint now)
{
    updateState(now);
    if (message.m_type == ControlMessageType::Sync) {
        const auto reply = decodeSyncMessage(payload);
        for (const MemberRecord &record : reply ? reply->m_records : std::vector<MemberRecord>())
            m_table.mergeWithoutGossip(record, now);
    } else if (const auto reply = decodeExchangeReply(payload)) {
        onExchangeReply(message, *reply, now);
    }
    onExchangeEnded(message, now);
    updateState(now);
}

void MembershipNode::onFailure(const OutgoingMessage &message, TimePoint now)
{
    updateState(now);
    if (message.m_type == ControlMessageType::Exchange) {
        m_repeatExchanges.erase(message.m_peer);
        m_acknowledgedRevisions.erase(message.m_peer);
        m_table.suspect(message.m_peer, now);
        if (m_options.m_self.m_role == VmRole::Endpoint)
            m_nextRoundAt = now;
    }
    onExchangeEnded(message, now);
}

void MembershipNode::onExchangeReply(const OutgoingMessage &message, const ExchangeReply &reply,
                                     TimePoint now)
{
    MemberRecord peer = reply.m_sender;
    const MemberRecord *known = m_table.find(peer.m_name);
    if (!reply.m_isBrief)
        mergeSender(peer, now);
    else if (known != nullptr)
        peer = *known;
    if (reply.m_needsFullRecord)
        m_acknowledgedRevisions.erase(peer.m_name);
    else
        m_acknowledgedRevisions[peer.m_name] = m_table.self().m_revision;
    for (const MemberRecord &record : reply.m_gossip)
        m_table.merge(record, now);
    for (const MemberRecord &record : reply.m_entries)
        m_table.merge(record, now);
    m_heartbeatDeadlines[peer.m_name] = now + m_options.m_times.m_heartbeatTimeout;
    if (reply.m_configuration)
        applyTransfer(*reply.m_configuration, now);
    recordPeerVersion(peer, reply.m_heldVersion, now);
    if (reply.m_hasClaim) {
        const std::chrono::microseconds age(reply.m_claimAgeMicroseconds);
        m_freshness.onClaim({reply.m_claimVersion, message.m_sentAt - age});
    }
    if (peer.m_role == VmRole::Entry && reply.m_isReady && m_options.m_self.m_role == VmRole::Entry)
        m_freshness.onDataCentreReport(
            peer.m_dataCentre, {reply.m_heldVersion, message.m_sentAt, reply.m_isNonAuthoritative});
    if (isEntryInLocalDataCentre(peer) && canBecomeAuthoritative(now)
        && message.m_sentAt > m_lastNotCurrentAt)
        m_isAuthoritative = true;
    compareTables(message, reply, now);
}

void MembershipNode::compareTables(const OutgoingMessage &message, const ExchangeReply &reply,
                                   TimePoint now)
{
    const MembershipTable::BucketHashes &localHashes = m_table.bucketHashes();
    SyncMessage sync;
    for (std::size_t index = 0; index < reply.m_bucketHashes.size(); ++index) {
        if (reply.m_bucketHashes[index] != localHashes[index])
            sync.m_buckets.push_back(index);
    }
    if (sync.m_buckets.empty())
        return;
    // Not reset by peers whose tables agree: those of one data centre may all lack the same record.
    ++m_mismatches;
    const bool hasJustStarted = m_table.size() <= smallTableSize;
    if (m_mismatches < mismatchesBeforeSync && !hasJustStarted)
        return;
    m_mismatches = 0;
    for (const std::uint64_t bucket : sync.m_buckets) {
        for (const MemberRecord *record : m_table.bucket(bucket))
            sync.m_records.push_back(*record);
    }
    send(message.m_peer, message.m_address, ControlMessageType::Sync, encode(sync), now);
}

void MembershipNode::applyTransfer(const ConfigurationTransfer &transfer, TimePoint now)
{
    if (transfer.m_version <= heldVersion())
        return;
    const std::string base =
        transfer.m_baseVersion == 0 || !m_store.latest() ? std::string() : m_store.latest()->m_text;
    if (transfer.m_baseVersion != 0 && transfer.m_baseVersion != heldVersion())
        return;
    if (const auto text = transfer.m_patch.applyTo(base))
        storeConfiguration(transfer.m_version, *text, now);
}

void MembershipNode::storeConfiguration(std::uint64_t version, const std::string &text,
                                        TimePoint now)
{
    Failure failure;
    if (!m_store.offer(version, text, failure))
        return;
    std::vector<DataCentreName> dataCentres;
    for (const DataCentre &dataCentre : m_store.latest()->m_configuration.m_dataCentres)
        dataCentres.push_back(dataCentre.m_name);
    m_previousDataCentres = std::move(m_dataCentres);
    m_dataCentres = dataCentres;
    m_freshness.setDataCentres(std::move(dataCentres));
    m_freshness.setApplied(version);
    distributeToEntriesAndAgents(now);
}

// Distributes a new version to the processes that rely on this one: from a watcher to the
// entries of its data centre, and from every entry to the agents that it monitors.
void MembershipNode::distributeToEntriesAndAgents(TimePoint now)
{
    if (m_options.m_self.m_role != VmRole::Entry)
        return;
    if (isWatcher()) {
        for (const MemberRecord &entry : entriesIn(m_options.m_self.m_dataCentre))
            exchangeWith(entry, now);
    }
    for (const MemberRecord *agent :
         m_table.members(VmRole::Endpoint, m_options.m_self.m_dataCentre)) {
        if (isMonitorOf(*agent))
            exchangeWith(*agent, now);
    }
}

void MembershipNode::onPlatformRead(const ReadAnswer &result, std::uint64_t after,
                                    TimePoint requestedAt, TimePoint now)
{
    updateState(now);
    if (!result.m_answered)
        return;
    const std::uint64_t version = result.m_object ? result.m_object->m_version : after;
    if (result.m_object && version > heldVersion())
        storeConfiguration(version, ConfigurationValue::parse(result.m_object->m_value).m_text,
                           now);
    if (version > 0)
        m_freshness.onPlatformVersion(version, requestedAt);
    updateState(now);
}

void MembershipNode::onVmList(const std::vector<Vm> &vms)
{
    for (const Vm &vm : vms) {
        const auto known = std::find_if(m_seeds.begin(), m_seeds.end(),
                                        [&vm](const Vm &seed) { return seed.m_name == vm.m_name; });
        if (known == m_seeds.end())
            m_seeds.push_back(vm);
        else
            *known = vm;
    }
}

} // namespace burdockhead
