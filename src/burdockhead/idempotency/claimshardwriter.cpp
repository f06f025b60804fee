#include <burdockhead/idempotency/claimshardwriter.h>

#include <algorithm>
#include <utility>

namespace burdockhead {

namespace {

constexpr const char *claimKind = "claim";
constexpr int mostTries = 4;
constexpr std::uint32_t mostBackoff = 3;
constexpr std::uint32_t undisturbedWrites = 8; // After which the interval is halved.

// Another entry that wrote once is likely to write again, and reads are the cheaper calls.
constexpr std::uint32_t readsAfterConflict = 8;

bool isLookUp(const PendingClaim &pending)
{
    return pending.m_claim.m_wanted.m_endpoint.empty();
}

} // namespace

ClaimShardWriter::ClaimShardWriter(ObjectApi &api, const ClaimServiceOptions &limits,
                                   std::uint32_t shard)
    : m_api(api)
    , m_limits(limits)
    , m_name("shard-" + std::to_string(shard))
{}

void ClaimShardWriter::process(std::vector<PendingClaim> &batch, std::uint64_t wallMilliseconds,
                               ClaimServiceCounters &counters)
{
    for (int tries = 0; tries < mostTries && !batch.empty(); ++tries) {
        if (attempt(batch, wallMilliseconds, counters) != WriteResult::Conflict)
            return;
    }
}

WriteResult ClaimShardWriter::attempt(std::vector<PendingClaim> &batch,
                                      std::uint64_t wallMilliseconds,
                                      ClaimServiceCounters &counters)
{
    if (m_known)
        answerKnown(batch, wallMilliseconds, counters);
    if (batch.empty())
        return WriteResult::Applied;
    const bool mustRead = !m_current || m_readsFirst > 0 || std::ranges::any_of(batch, isLookUp);
    if (mustRead && !load(counters))
        return WriteResult::Unknown;
    answerKnown(batch, wallMilliseconds, counters);
    answerLookUps(batch);
    ClaimShard changed = *m_known;
    changed.expire(wallMilliseconds);
    bool hasNew = false;
    std::erase_if(batch, [&](const PendingClaim &pending) {
        if (changed.merge(pending.m_claim, wallMilliseconds, hasNew))
            return false;
        ++counters.m_failed;
        pending.m_handler(std::nullopt, {ErrorKind::Overloaded, "the claims' shard is full"});
        return true;
    });
    if (!hasNew)
        return WriteResult::Applied;
    const WriteResult result = write(changed, counters);
    if (result == WriteResult::Applied)
        answerKnown(batch, wallMilliseconds, counters);
    return result;
}

// What is still there was not found in the object as just read.
void ClaimShardWriter::answerLookUps(std::vector<PendingClaim> &batch)
{
    std::erase_if(batch, [](const PendingClaim &pending) {
        if (!isLookUp(pending))
            return false;
        pending.m_handler(std::nullopt, {ErrorKind::NoEndpoint, "the key is not bound"});
        return true;
    });
}

bool ClaimShardWriter::load(ClaimServiceCounters &counters)
{
    ++counters.m_reads;
    const ReadAnswer answer = m_api.read(claimKind, m_name, Clock::now() + m_limits.m_callTimeout);
    if (!answer.m_answered)
        return false;
    const std::string value = answer.m_object ? answer.m_object->m_value : std::string();
    auto shard = ClaimShard::decode(value, m_limits.m_shard);
    if (!shard)
        return false;
    m_version = answer.m_object ? answer.m_object->m_version : 0;
    m_known = std::move(shard);
    m_current = true;
    return true;
}

void ClaimShardWriter::answerKnown(std::vector<PendingClaim> &batch, std::uint64_t wallMilliseconds,
                                   ClaimServiceCounters &counters)
{
    std::erase_if(batch, [&](const PendingClaim &pending) {
        const auto binding = m_known->find(pending.m_claim.m_key, wallMilliseconds);
        if (!binding)
            return false;
        ++counters.m_claims;
        pending.m_handler(binding, {});
        return true;
    });
}

WriteResult ClaimShardWriter::write(const ClaimShard &changed, ClaimServiceCounters &counters)
{
    ++counters.m_writes;
    const PlatformObject object{claimKind, m_name, m_version, changed.encode()};
    const WriteAnswer answer = m_api.write(object, Clock::now() + m_limits.m_callTimeout);
    if (answer.m_result == WriteResult::Applied) {
        m_version = answer.m_version;
        m_known = changed;
        m_readsFirst -= std::min<std::uint32_t>(m_readsFirst, 1);
        if (++m_undisturbed >= undisturbedWrites) {
            m_backoff -= std::min<std::uint32_t>(m_backoff, 1);
            m_undisturbed = 0;
        }
        return answer.m_result;
    }
    if (answer.m_result == WriteResult::Conflict) {
        ++counters.m_conflicts;
        m_readsFirst = readsAfterConflict;
        m_backoff = std::min(m_backoff + 1, mostBackoff);
        m_undisturbed = 0;
    }
    m_current = false;
    return answer.m_result;
}

} // namespace burdockhead
