#include <burdockhead/membership/membershiptable.h>

#include <algorithm>
#include <bit>
#include <xxhash.h>

namespace burdockhead {

namespace {

constexpr std::size_t gossipRepeatFactor = 3;

} // namespace

MembershipTable::MembershipTable(MemberRecord self, MembershipTableTimeouts timeouts)
    : m_self(std::move(self))
    , m_timeouts(timeouts)
{
    storeLocalRecord();
}

std::size_t MembershipTable::bucketOf(const ProcessName &name)
{
    return XXH64(name.text().data(), name.text().size(), 1) % bucketCount;
}

// Adds a record to the bucket hash and the count, or removes it. XOR makes adding and removing
// the same operation on the hash.
void MembershipTable::updateTotals(const MemberRecord &record, bool isAdded)
{
    if (record.m_health == MemberHealth::Dead)
        return;
    m_bucketHashes[bucketOf(record.m_name)] ^= static_cast<std::uint32_t>(record.hash());
    m_liveCount = isAdded ? m_liveCount + 1 : m_liveCount - 1;
}

void MembershipTable::store(const MemberRecord &record, TimePoint now)
{
    Member &member = m_members[record.m_name];
    if (!member.m_record.m_name.empty())
        updateTotals(member.m_record, false);
    member.m_record = record;
    updateTotals(record, true);
    member.m_expiresAt.reset();
    if (record.m_health == MemberHealth::Suspect)
        member.m_expiresAt = now + m_timeouts.m_suspicionTimeout;
    else if (record.m_health == MemberHealth::Dead)
        member.m_expiresAt = now + m_timeouts.m_deadRetention;
    m_gossipCounts[record.m_name] = 0;
    m_changes[record.m_name] = record;
    if (record.m_role == VmRole::Entry)
        ++m_entriesGeneration;
}

void MembershipTable::storeLocalRecord()
{
    store(m_self, TimePoint());
}

void MembershipTable::setLeaving(bool leaving)
{
    if (m_self.m_isLeaving == leaving)
        return;
    m_self.m_isLeaving = leaving;
    ++m_self.m_revision;
    storeLocalRecord();
}

bool MembershipTable::merge(const MemberRecord &record, TimePoint now)
{
    if (record.m_name.empty())
        return false;
    if (record.m_name == m_self.m_name) {
        if (record.m_incarnation != m_self.m_incarnation || !record.supersedes(m_self))
            return false;
        m_self.m_revision = record.m_revision + 1;
        storeLocalRecord();
        return true;
    }
    const auto member = m_members.find(record.m_name);
    if (member != m_members.end() && !record.supersedes(member->second.m_record))
        return false;
    store(record, now);
    return true;
}

bool MembershipTable::mergeWithoutGossip(const MemberRecord &record, TimePoint now)
{
    const bool changed = merge(record, now);
    if (changed && record.m_name != m_self.m_name)
        m_gossipCounts.erase(record.m_name);
    return changed;
}

void MembershipTable::suspect(const ProcessName &name, TimePoint now)
{
    const MemberRecord *known = find(name);
    if (known == nullptr || known->m_health != MemberHealth::Alive || name == m_self.m_name)
        return;
    MemberRecord record = *known;
    record.m_health = MemberHealth::Suspect;
    store(record, now);
}

void MembershipTable::tick(TimePoint now)
{
    std::vector<MemberRecord> expiredSuspects;
    for (auto member = m_members.begin(); member != m_members.end();) {
        const bool isDue = member->second.m_expiresAt && *member->second.m_expiresAt <= now;
        if (isDue && member->second.m_record.m_health == MemberHealth::Dead) {
            m_gossipCounts.erase(member->first);
            member = m_members.erase(member);
            continue;
        }
        if (isDue)
            expiredSuspects.push_back(member->second.m_record);
        ++member;
    }
    for (MemberRecord &record : expiredSuspects) {
        record.m_health = MemberHealth::Dead;
        store(record, now);
    }
}

const MemberRecord *MembershipTable::find(const ProcessName &name) const
{
    const auto member = m_members.find(name);
    return member == m_members.end() ? nullptr : &member->second.m_record;
}

std::vector<const MemberRecord *> MembershipTable::members(VmRole role) const
{
    std::vector<const MemberRecord *> found;
    for (const auto &[name, member] : m_members) {
        if (member.m_record.m_role == role && member.m_record.m_health != MemberHealth::Dead)
            found.push_back(&member.m_record);
    }
    return found;
}

std::vector<const MemberRecord *> MembershipTable::members(VmRole role,
                                                           const DataCentreName &dataCentre) const
{
    std::vector<const MemberRecord *> found = members(role);
    std::erase_if(found, [&](const auto *record) { return record->m_dataCentre != dataCentre; });
    return found;
}

std::vector<const MemberRecord *> MembershipTable::bucket(std::size_t index) const
{
    std::vector<const MemberRecord *> found;
    for (const auto &[name, member] : m_members) {
        if (bucketOf(name) == index)
            found.push_back(&member.m_record);
    }
    return found;
}

std::vector<const MemberRecord *> MembershipTable::deadEntries() const
{
    std::vector<const MemberRecord *> found;
    for (const auto &[name, member] : m_members) {
        if (member.m_record.m_role == VmRole::Entry
            && member.m_record.m_health == MemberHealth::Dead)
            found.push_back(&member.m_record);
    }
    return found;
}

std::vector<MemberRecord> MembershipTable::takeGossip(std::size_t limit)
{
    struct Candidate
    {
        std::size_t m_sentCount;
        ProcessName m_name;
    };
    std::vector<Candidate> candidates;
    for (const auto &[name, sentCount] : m_gossipCounts)
        candidates.push_back({sentCount, name});
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const Candidate &left, const Candidate &right) {
                         return left.m_sentCount < right.m_sentCount;
                     });
    const std::size_t maxSentCount = gossipRepeatFactor * std::bit_width(m_members.size() + 1);
    std::vector<MemberRecord> taken;
    for (std::size_t index = 0; index < candidates.size() && index < limit; ++index) {
        const ProcessName &name = candidates[index].m_name;
        if (const MemberRecord *record = find(name))
            taken.push_back(*record);
        if (++m_gossipCounts[name] >= maxSentCount)
            m_gossipCounts.erase(name);
    }
    return taken;
}

std::vector<MemberRecord> MembershipTable::takeChanges()
{
    std::vector<MemberRecord> taken;
    for (auto &[name, record] : m_changes)
        taken.push_back(std::move(record));
    m_changes.clear();
    return taken;
}

std::uint64_t MembershipTable::tableHash() const
{
    return XXH64(m_bucketHashes.data(), sizeof(m_bucketHashes), 0);
}

} // namespace burdockhead
