#pragma once

#include <burdockhead/idempotency/pendingclaim.h>

#include <string>
#include <vector>

namespace burdockhead {

// Brings batches of claims into one shard's object. Used by one thread.
class ClaimShardWriter
{
public:
    ClaimShardWriter(ObjectApi &api, const ClaimServiceOptions &limits, std::uint32_t shard);

    // Answers the claims by what is known, or by one conditional write, tried again a few
    // times when another entry's came first. Claims stay in `batch` for the next call when
    // the platform gave no answer. After a write without an answer the object is read back
    // before anything else.
    void process(std::vector<PendingClaim> &batch, std::uint64_t wallMilliseconds,
                 ClaimServiceCounters &counters);

    // How long to wait from one batch to the next: doubled a few times while other entries'
    // writes come in between, so that all entries together stay within the platform's rates.
    Duration interval() const { return m_limits.m_writeInterval * (1 << m_backoff); }

private:
    WriteResult attempt(std::vector<PendingClaim> &batch, std::uint64_t wallMilliseconds,
                        ClaimServiceCounters &counters);
    static void answerLookUps(std::vector<PendingClaim> &batch);
    bool load(ClaimServiceCounters &counters);
    void answerKnown(std::vector<PendingClaim> &batch, std::uint64_t wallMilliseconds,
                     ClaimServiceCounters &counters);
    WriteResult write(const ClaimShard &changed, ClaimServiceCounters &counters);

    ObjectApi &m_api;
    ClaimServiceOptions m_limits;
    std::string m_name;
    std::uint64_t m_version = 0;
    std::uint32_t m_backoff = 0;     // Doublings of the interval.
    std::uint32_t m_undisturbed = 0; // Writes since the last conflict or change of the backoff.
    std::uint32_t m_readsFirst = 0;  // Writes to come that are preceded by a read.
    // As the platform held it; its claims stay true until they lapse, also in an outage.
    std::optional<ClaimShard> m_known;
    bool m_current = false; // False: read the object before writing it.
};

} // namespace burdockhead
