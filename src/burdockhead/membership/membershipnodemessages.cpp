// The part of MembershipNode that writes, answers and reads messages.
#include <burdockhead/configuration/configurationvalue.h>
#include <burdockhead/membership/membershipnode.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr std::size_t rumoursPerMessage = 12;
constexpr std::size_t mismatchesBeforeSync = 3; // Rumours under way even out by themselves.
constexpr std::size_t smallTable = 4;           // A process that has just started.

std::uint64_t hashOf(const std::vector<MemberRecord> &records)
{
    std::uint64_t hash = 1;
    for (const MemberRecord &record : records)
        hash ^= record.hash();
    return hash;
}

} // namespace

void MembershipNode::send(const ProcessName &peer, const SocketAddress &address, ControlType type,
                          std::string payload, TimePoint now)
{
    m_outgoing.push_back(
        {peer, address, type, std::move(payload), now, now + m_options.m_times.m_callLimit});
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
    if (!m_inFlight.insert(peer).second) {
        m_askAgain.insert(peer);
        return;
    }
    send(peer, address, ControlType::Exchange, encode(makeRequest(peer)), now);
}

// A suspect is told of the suspicion, so that it can refute it.
std::vector<MemberRecord> MembershipNode::rumoursFor(const ProcessName &peer, VmRole role)
{
    std::vector<MemberRecord> rumours;
    if (m_options.m_self.m_role == VmRole::Entry && role == VmRole::Entry)
        rumours = m_table.takeRumours(rumoursPerMessage);
    const MemberRecord *record = m_table.find(peer);
    if (record != nullptr && record->m_health != MemberHealth::Alive)
        rumours.push_back(*record);
    return rumours;
}

ExchangeRequest MembershipNode::makeRequest(const ProcessName &peer)
{
    ExchangeRequest request;
    const MemberRecord *record = m_table.find(peer);
    request.m_sender = m_table.self();
    const auto introduced = m_introduced.find(peer);
    request.m_brief =
        introduced != m_introduced.end() && introduced->second == request.m_sender.m_revision;
    if (record != nullptr) {
        request.m_peerIncarnation = record->m_incarnation.m_value;
        request.m_peerRevision = record->m_revision;
    }
    request.m_rumours = rumoursFor(peer, record == nullptr ? VmRole::Entry : record->m_role);
    request.m_heldVersion = heldVersion();
    if (m_options.m_self.m_role == VmRole::Entry)
        request.m_tableHash = m_table.tableHash();
    else
        request.m_entriesHash = hashOf(entriesIn(m_options.m_self.m_dataCentre));
    return request;
}

std::string MembershipNode::answer(ControlType type, const std::string &payload, TimePoint now)
{
    refresh(now);
    if (type == ControlType::Exchange) {
        if (const auto request = decodeExchangeRequest(payload))
            return answerExchange(*request, now);
    } else if (const auto message = decodeSyncMessage(payload)) {
        return answerSync(*message, now);
    }
    return {};
}

// Replaces a brief record by the whole one; false when that is not known here.
bool MembershipNode::completeSender(ExchangeRequest &request) const
{
    if (!request.m_brief)
        return true;
    const MemberRecord *known = m_table.find(request.m_sender.m_name);
    if (known == nullptr || known->m_incarnation != request.m_sender.m_incarnation
        || known->m_revision != request.m_sender.m_revision)
        return false;
    request.m_sender = *known;
    return true;
}

// An agent keeps only the entries of its own data centre, since nobody would tell it of
// changes in the others.
void MembershipNode::mergeSender(const MemberRecord &sender, TimePoint now)
{
    if (m_options.m_self.m_role == VmRole::Entry || isOwnEntry(sender))
        m_table.merge(sender, now);
}

std::string MembershipNode::answerExchange(ExchangeRequest request, TimePoint now)
{
    const bool fromEntry = request.m_sender.m_role == VmRole::Entry;
    const bool known = completeSender(request);
    if (known)
        mergeSender(request.m_sender, now);
    for (const MemberRecord &record : request.m_rumours)
        m_table.merge(record, now);
    m_silentAt[request.m_sender.m_name] = now + m_options.m_times.m_silence;
    if (known)
        noteVersion(request.m_sender, request.m_heldVersion, now);
    ExchangeResponse response;
    response.m_wantsRecord = !known;
    response.m_sender = m_table.self();
    response.m_brief = request.m_peerIncarnation == response.m_sender.m_incarnation.m_value
                       && request.m_peerRevision == response.m_sender.m_revision;
    response.m_rumours = rumoursFor(request.m_sender.m_name, request.m_sender.m_role);
    response.m_heldVersion = heldVersion();
    response.m_ready = m_ready;
    response.m_lapsed = !isCurrent(now) || !m_vouches;
    if (const auto &claim = m_currency.latestClaim()) {
        response.m_hasClaim = true;
        response.m_claimVersion = claim->m_version;
        const auto age = std::chrono::ceil<std::chrono::microseconds>(now - claim->m_asOf);
        response.m_claimAgeMicroseconds = std::max<std::int64_t>(0, age.count());
    }
    response.m_configuration = transferFor(request.m_heldVersion);
    if (fromEntry && m_options.m_self.m_role == VmRole::Entry
        && request.m_tableHash != m_table.tableHash())
        response.m_bucketHashes.assign(m_table.bucketHashes().begin(),
                                       m_table.bucketHashes().end());
    if (known && !fromEntry)
        addEntriesFor(request, response);
    return encode(response);
}

void MembershipNode::addEntriesFor(const ExchangeRequest &request, ExchangeResponse &response)
{
    const DataCentreName &dataCentre = request.m_sender.m_dataCentre;
    const std::vector<MemberRecord> &entries = entriesIn(dataCentre);
    if (request.m_entriesHash == hashOf(entries))
        return;
    response.m_hasEntries = true;
    response.m_entries = entries;
    for (const MemberRecord *dead : m_table.deadEntries()) {
        if (dead->m_dataCentre == dataCentre)
            response.m_entries.push_back(*dead);
    }
}

std::string MembershipNode::answerSync(const SyncMessage &message, TimePoint now)
{
    SyncMessage reply;
    reply.m_buckets = message.m_buckets;
    for (const MemberRecord &record : message.m_records)
        m_table.mergeQuietly(record, now);
    for (const std::uint64_t bucket : message.m_buckets) {
        for (const MemberRecord *record : m_table.bucket(bucket))
            reply.m_records.push_back(*record);
    }
    return encode(reply);
}

std::optional<ConfigurationTransfer> MembershipNode::transferFor(std::uint64_t peerVersion) const
{
    const ConfigurationPointer &held = m_store.held();
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

// Remembers what a peer holds, and asks it at once when that is newer.
void MembershipNode::noteVersion(const MemberRecord &peer, std::uint64_t version, TimePoint now)
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

void MembershipNode::ended(const OutgoingMessage &message, TimePoint now)
{
    if (message.m_type != ControlType::Exchange)
        return;
    m_inFlight.erase(message.m_peer);
    if (m_askAgain.erase(message.m_peer) > 0)
        exchangeAt(message.m_peer, message.m_address, now);
}

void MembershipNode::onAnswer(const OutgoingMessage &message, const std::string &payload,
                              TimePoint now)
{
    refresh(now);
    if (message.m_type == ControlType::Sync) {
        const auto reply = decodeSyncMessage(payload);
        for (const MemberRecord &record : reply ? reply->m_records : std::vector<MemberRecord>())
            m_table.mergeQuietly(record, now);
    } else if (const auto response = decodeExchangeResponse(payload)) {
        onExchangeAnswer(message, *response, now);
    }
    ended(message, now);
    refresh(now);
}

void MembershipNode::onFailure(const OutgoingMessage &message, TimePoint now)
{
    refresh(now);
    if (message.m_type == ControlType::Exchange) {
        m_askAgain.erase(message.m_peer);
        m_introduced.erase(message.m_peer);
        m_table.suspect(message.m_peer, now);
        if (m_options.m_self.m_role == VmRole::Endpoint)
            m_nextRound = now;
    }
    ended(message, now);
}

void MembershipNode::onExchangeAnswer(const OutgoingMessage &message,
                                      const ExchangeResponse &response, TimePoint now)
{
    MemberRecord peer = response.m_sender;
    const MemberRecord *known = m_table.find(peer.m_name);
    if (!response.m_brief)
        mergeSender(peer, now);
    else if (known != nullptr)
        peer = *known;
    if (response.m_wantsRecord)
        m_introduced.erase(peer.m_name);
    else
        m_introduced[peer.m_name] = m_table.self().m_revision;
    for (const MemberRecord &record : response.m_rumours)
        m_table.merge(record, now);
    for (const MemberRecord &record : response.m_entries)
        m_table.merge(record, now);
    m_silentAt[peer.m_name] = now + m_options.m_times.m_silence;
    if (response.m_configuration)
        takeTransfer(*response.m_configuration, now);
    noteVersion(peer, response.m_heldVersion, now);
    if (response.m_hasClaim) {
        const std::chrono::microseconds age(response.m_claimAgeMicroseconds);
        m_currency.hearClaim({response.m_claimVersion, message.m_askedAt - age});
    }
    if (peer.m_role == VmRole::Entry && response.m_ready
        && m_options.m_self.m_role == VmRole::Entry)
        m_currency.hearDataCentre(peer.m_dataCentre,
                                  {response.m_heldVersion, message.m_askedAt, response.m_lapsed});
    if (isOwnEntry(peer) && mayVouch(now) && message.m_askedAt > m_lapsedAt)
        m_vouches = true;
    compareTables(message, response, now);
}

void MembershipNode::compareTables(const OutgoingMessage &message, const ExchangeResponse &response,
                                   TimePoint now)
{
    const MembershipTable::BucketHashes &own = m_table.bucketHashes();
    SyncMessage sync;
    for (std::size_t index = 0; index < response.m_bucketHashes.size(); ++index) {
        if (response.m_bucketHashes[index] != own[index])
            sync.m_buckets.push_back(index);
    }
    m_mismatches = sync.m_buckets.empty() ? 0 : m_mismatches + 1;
    const bool started = m_table.size() <= smallTable;
    if (sync.m_buckets.empty() || (m_mismatches < mismatchesBeforeSync && !started))
        return;
    m_mismatches = 0;
    for (const std::uint64_t bucket : sync.m_buckets) {
        for (const MemberRecord *record : m_table.bucket(bucket))
            sync.m_records.push_back(*record);
    }
    send(message.m_peer, message.m_address, ControlType::Sync, encode(sync), now);
}

void MembershipNode::takeTransfer(const ConfigurationTransfer &transfer, TimePoint now)
{
    if (transfer.m_version <= heldVersion())
        return;
    const std::string base =
        transfer.m_baseVersion == 0 || !m_store.held() ? std::string() : m_store.held()->m_text;
    if (transfer.m_baseVersion != 0 && transfer.m_baseVersion != heldVersion())
        return;
    if (const auto text = transfer.m_patch.applyTo(base))
        hold(transfer.m_version, *text, now);
}

void MembershipNode::hold(std::uint64_t version, const std::string &text, TimePoint now)
{
    Failure failure;
    if (!m_store.offer(version, text, failure))
        return;
    std::vector<DataCentreName> dataCentres;
    for (const DataCentre &dataCentre : m_store.held()->m_configuration.m_dataCentres)
        dataCentres.push_back(dataCentre.m_name);
    m_previousDataCentres = std::move(m_dataCentres);
    m_dataCentres = dataCentres;
    m_currency.setDataCentres(std::move(dataCentres));
    m_currency.setApplied(version);
    announceHeld(now);
}

// Tells those that depend on this process for news: a watcher the entries of its data
// centre, and every entry the agents that it is a home of.
void MembershipNode::announceHeld(TimePoint now)
{
    if (m_options.m_self.m_role != VmRole::Entry)
        return;
    if (isWatcher()) {
        for (const MemberRecord &entry : entriesIn(m_options.m_self.m_dataCentre))
            exchangeWith(entry, now);
    }
    for (const MemberRecord *agent :
         m_table.members(VmRole::Endpoint, m_options.m_self.m_dataCentre)) {
        if (isHomeOf(*agent))
            exchangeWith(*agent, now);
    }
}

void MembershipNode::onPlatform(const ReadAnswer &answer, std::uint64_t after, TimePoint askedAt,
                                TimePoint now)
{
    refresh(now);
    if (!answer.m_answered)
        return;
    const std::uint64_t version = answer.m_object ? answer.m_object->m_version : after;
    if (answer.m_object && version > heldVersion())
        hold(version, ConfigurationValue::parse(answer.m_object->m_value).m_text, now);
    if (version > 0)
        m_currency.hearPlatform(version, askedAt);
    refresh(now);
}

void MembershipNode::onVms(const std::vector<Vm> &vms)
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
