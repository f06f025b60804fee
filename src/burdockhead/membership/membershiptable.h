#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/membership/memberrecord.h>

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace burdockhead {

// How long suspicion and memory last.
struct MembershipTimes
{
    Milliseconds m_suspicion{3000};                  // From suspect to dead without refutation.
    Milliseconds m_memory{std::chrono::minutes(10)}; // From dead to forgotten.
};

// All members that a process knows, itself included. Newer records replace older ones;
// changes wait to be passed on a number of times that grows with the logarithm of the table.
// Not thread safe.
class MembershipTable
{
public:
    static constexpr std::size_t bucketCount = 64;
    using BucketHashes = std::array<std::uint32_t, bucketCount>;

    MembershipTable(MemberRecord self, MembershipTimes times);

    // This process's own record.
    const MemberRecord &self() const { return m_self; }

    // Changes what this process tells of itself.
    void setLeaving(bool leaving);

    // Takes a record heard from a peer, or one made here, if it is newer. A suspicion of
    // this process is refuted. True when something changed.
    bool merge(const MemberRecord &record, TimePoint now);

    // The same for a record that came with a whole bucket, which is not passed on.
    bool mergeQuietly(const MemberRecord &record, TimePoint now);

    // A call to the member failed, or it has been silent too long.
    void suspect(const ProcessName &name, TimePoint now);

    // Turns suspects dead and forgets the long dead.
    void tick(TimePoint now);

    // The record of a member; a null pointer if it is not known.
    const MemberRecord *find(const ProcessName &name) const;

    // Members of that role that are not dead, by name; with a data centre, only those in it.
    std::vector<const MemberRecord *> members(VmRole role) const;
    std::vector<const MemberRecord *> members(VmRole role, const DataCentreName &dataCentre) const;

    // Every record, the dead included, whose name falls into that bucket.
    std::vector<const MemberRecord *> bucket(std::size_t index) const;

    // Entries that are dead, for trying them again after a partition.
    std::vector<const MemberRecord *> deadEntries() const;

    // Takes up to `limit` changes to pass on, those passed on least first.
    std::vector<MemberRecord> takeRumours(std::size_t limit);

    // Takes what has changed since the last call, for listeners here.
    std::vector<MemberRecord> takeChanges();

    // Hashes of the records that are not dead, one a bucket; equal tables have equal hashes.
    const BucketHashes &bucketHashes() const { return m_hashes; }
    // One hash over all buckets.
    std::uint64_t tableHash() const;

    // Grows with every change in the entries, so that what depends on them can be kept.
    std::uint64_t entriesGeneration() const { return m_entriesGeneration; }

    // How many members are known and not dead, this process included.
    std::size_t size() const { return m_liveCount; }

private:
    struct Member
    {
        MemberRecord m_record;
        std::optional<TimePoint> m_deadline; // To dead if suspect, to forgotten if dead.
    };

    void store(const MemberRecord &record, TimePoint now);
    void count(const MemberRecord &record, bool add);
    void storeSelf();
    static std::size_t bucketOf(const ProcessName &name);

    MemberRecord m_self;
    MembershipTimes m_times;
    std::map<ProcessName, Member> m_members;
    std::map<ProcessName, std::size_t> m_rumours; // How often each was passed on.
    std::map<ProcessName, MemberRecord> m_changes;
    BucketHashes m_hashes{};
    std::uint64_t m_entriesGeneration = 1;
    std::size_t m_liveCount = 0;
};

} // namespace burdockhead
