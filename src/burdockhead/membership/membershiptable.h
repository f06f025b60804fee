#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/membership/memberrecord.h>

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace burdockhead {

// Timeouts of the member states.
struct MembershipTableTimeouts
{
    Milliseconds m_suspicionTimeout{3000};                  // From suspect to dead if not refuted.
    Milliseconds m_deadRetention{std::chrono::minutes(10)}; // From dead to removed from the table.
};

// Records of all known members, including the local process. Newer records replace older ones.
// Each change is gossiped a number of times that grows with the logarithm of the table size.
// Not thread-safe.
class MembershipTable
{
public:
    static constexpr std::size_t bucketCount = 64;
    using BucketHashes = std::array<std::uint32_t, bucketCount>;

    MembershipTable(MemberRecord self, MembershipTableTimeouts timeouts);

    // Returns the record of the local process.
    const MemberRecord &self() const { return m_self; }

    // Changes the local record and increments its revision.
    void setLeaving(bool leaving);

    // Stores a record if it is newer than the known one. Refutes a suspicion of the local
    // process. Returns true if the table changed.
    bool merge(const MemberRecord &record, TimePoint now);

    // Does the same for a record from a synchronized bucket, without gossiping it.
    bool mergeWithoutGossip(const MemberRecord &record, TimePoint now);

    // Marks a live member as suspect after a failed call or a heartbeat timeout.
    void suspect(const ProcessName &name, TimePoint now);

    // Marks suspects as dead and removes dead members when their timeouts expire.
    void tick(TimePoint now);

    // Returns the record of a member, or null if it is unknown.
    const MemberRecord *find(const ProcessName &name) const;

    // Returns the members of a role that are not dead, sorted by name; with a data centre, only
    // those in it.
    std::vector<const MemberRecord *> members(VmRole role) const;
    std::vector<const MemberRecord *> members(VmRole role, const DataCentreName &dataCentre) const;

    // Returns all records of a bucket, including dead members.
    std::vector<const MemberRecord *> bucket(std::size_t index) const;

    // Returns the dead entries, which are contacted again in case a partition has ended.
    std::vector<const MemberRecord *> deadEntries() const;

    // Returns up to `limit` changes to gossip, those gossiped least often first.
    std::vector<MemberRecord> takeGossip(std::size_t limit);

    // Returns the records changed since the previous call, for local listeners.
    std::vector<MemberRecord> takeChanges();

    // Returns one hash for each bucket over its records that are not dead. Equal tables have
    // equal hashes.
    const BucketHashes &bucketHashes() const { return m_bucketHashes; }
    // Returns one hash over all buckets.
    std::uint64_t tableHash() const;

    // Returns a counter that grows with every change of an entry, for invalidating caches.
    std::uint64_t entriesGeneration() const { return m_entriesGeneration; }

    // Returns the number of members that are not dead, including the local process.
    std::size_t size() const { return m_liveCount; }

private:
    struct Member
    {
        MemberRecord m_record;
        std::optional<TimePoint> m_expiresAt; // When suspect becomes dead, or dead is removed.
    };

    void store(const MemberRecord &record, TimePoint now);
    void updateTotals(const MemberRecord &record, bool isAdded);
    void storeLocalRecord();
    static std::size_t bucketOf(const ProcessName &name);

    MemberRecord m_self;
    MembershipTableTimeouts m_timeouts;
    std::map<ProcessName, Member> m_members;
    std::map<ProcessName, std::size_t> m_gossipCounts; // How often each change has been gossiped.
    std::map<ProcessName, MemberRecord> m_changes;
    BucketHashes m_bucketHashes{};
    std::uint64_t m_entriesGeneration = 1;
    std::size_t m_liveCount = 0;
};

} // namespace burdockhead
