#pragma once

#include <burdockhead/idempotency/pendingclaim.h>

#include <string>
#include <vector>

namespace burdockhead {

// Writes batches of claims to one shard's object. Not thread-safe.
class ClaimShardWriter
{
public:
    ClaimShardWriter(ObjectApi &api, const ClaimServiceOptions &options, std::uint32_t shard);

    // Completes claims from the cache or by one conditional write, which is retried a few times if
    // it conflicts with another entry's. Claims stay in `batch` for the next call if the platform
    // doesn't reply. After a write without a reply the object is read back first.
    //
    // When the platform comes back from an older copy, claims that it has lost and this entry knows
    // are written again, and for some seconds no new keys are bound, so that other entries can
    // write theirs.
    void process(std::vector<PendingClaim> &batch, std::uint64_t wallMilliseconds, TimePoint now,
                 ClaimServiceCounters &counters);

    // Returns when process() has to be called although no claim is pending, to see whether the
    // platform has lost a recent claim; TimePoint::max() if it hasn't.
    TimePoint nextCheckAt() const;

    // Returns the interval between batches. It is doubled a few times while writes conflict with
    // other entries', so that all entries together stay within the platform's rate limits.
    Duration interval() const { return m_options.m_writeInterval * (1 << m_backoffExponent); }

private:
    WriteResult processOnce(std::vector<PendingClaim> &batch, std::uint64_t wallMilliseconds,
                            TimePoint now, ClaimServiceCounters &counters);
    static void answerLookUps(std::vector<PendingClaim> &batch);
    void answerWhileSettling(std::vector<PendingClaim> &batch, std::uint64_t wallMilliseconds,
                             ClaimServiceCounters &counters);
    void recordEra(std::uint64_t era, TimePoint now);
    bool readShard(std::uint64_t wallMilliseconds, TimePoint now, ClaimServiceCounters &counters);
    static void answerFrom(const ClaimShard &shard, std::vector<PendingClaim> &batch,
                           std::uint64_t wallMilliseconds, ClaimServiceCounters &counters);
    WriteResult write(const ClaimShard &changed, TimePoint now, ClaimServiceCounters &counters);

    ObjectApi &m_api;
    ClaimServiceOptions m_options;
    std::string m_objectName;
    std::uint64_t m_version = 0;
    std::uint32_t m_backoffExponent = 0;       // Doublings of the interval.
    std::uint32_t m_writesWithoutConflict = 0; // Since the last conflict or backoff step.
    std::uint32_t m_readsBeforeWrite = 0;      // Number of next writes that a read must precede.
    // The shard as last read or written. Its claims stay valid until they expire, even during a
    // platform outage.
    std::optional<ClaimShard> m_cached;
    bool m_isCacheCurrent = false; // If false, the object is read before it is written.
    bool m_hasLostClaims = false;  // The platform lacks claims of the cache.
    std::uint64_t m_era = 0;       // Of the last answer; 0 before the first.
    // Set while other entries write what the platform has lost: until when, and what this entry
    // knew before. Only that is answered; what is read meanwhile may be replaced by older claims.
    std::optional<TimePoint> m_settlesAt;
    std::optional<ClaimShard> m_cachedBeforeRestore;
    TimePoint m_lastCallAt = TimePoint::min();
    TimePoint m_lastClaimAt = TimePoint::min(); // When this entry last wrote a claim.
};

} // namespace burdockhead
