#include <burdockhead/idempotency/claimshardwriter.h>

#include <algorithm>
#include <utility>

namespace burdockhead {

namespace {

constexpr const char *claimKind = "claim";
constexpr int maxTries = 4;
constexpr std::uint32_t maxBackoffExponent = 3;

// Consecutive writes without a conflict after which the interval is halved.
constexpr std::uint32_t writesPerBackoffStep = 8;

// An entry that has just caused a conflict is likely to write again, and reads are cheaper than
// writes.
constexpr std::uint32_t readsAfterConflict = 8;

// In which entries write again what the platform has lost; longer than they take to notice.
constexpr Milliseconds restoreTime{3000};
// How long claims of this entry are checked, and how often: a copy is some seconds old.
constexpr Milliseconds checkTime{60000};
constexpr Milliseconds checkInterval{2000};
// An era from which on the platform has come back from a copy before.
constexpr std::uint64_t firstRestoredEra = 2;

bool isLookUp(const PendingClaim &pending)
{
    return pending.m_claim.m_proposedBinding.m_endpoint.empty();
}

} // namespace

ClaimShardWriter::ClaimShardWriter(ObjectApi &api, const ClaimServiceOptions &options,
                                   std::uint32_t shard)
    : m_api(api)
    , m_options(options)
    , m_objectName("shard-" + std::to_string(shard))
{}

TimePoint ClaimShardWriter::nextCheckAt() const
{
    const bool isRecent =
        m_lastClaimAt != TimePoint::min() && m_lastCallAt < m_lastClaimAt + checkTime;
    return isRecent ? m_lastCallAt + checkInterval : TimePoint::max();
}

void ClaimShardWriter::process(std::vector<PendingClaim> &batch, std::uint64_t wallMilliseconds,
                               TimePoint now, ClaimServiceCounters &counters)
{
    if (now >= nextCheckAt())
        m_isCacheCurrent = false;
    for (int tries = 0; tries < maxTries && (!batch.empty() || now >= nextCheckAt()); ++tries) {
        if (processOnce(batch, wallMilliseconds, now, counters) != WriteResult::Conflict)
            return;
    }
}

WriteResult ClaimShardWriter::processOnce(std::vector<PendingClaim> &batch,
                                          std::uint64_t wallMilliseconds, TimePoint now,
                                          ClaimServiceCounters &counters)
{
    if (m_cached && !m_settlesAt)
        answerFrom(*m_cached, batch, wallMilliseconds, counters);
    if (batch.empty() && m_isCacheCurrent && !m_hasLostClaims)
        return WriteResult::Applied;
    const bool mustRead = !m_isCacheCurrent || m_readsBeforeWrite > 0 || m_settlesAt
                          || std::ranges::any_of(batch, isLookUp);
    m_lastCallAt = now;
    if (mustRead && !readShard(wallMilliseconds, now, counters))
        return WriteResult::Unknown;
    if (m_settlesAt && now >= *m_settlesAt) {
        m_settlesAt.reset();
        m_cachedBeforeRestore.reset();
    }
    if (m_settlesAt)
        answerWhileSettling(batch, wallMilliseconds, counters);
    answerFrom(*m_cached, batch, wallMilliseconds, counters);
    answerLookUps(batch);
    ClaimShard changed = *m_cached;
    changed.expire(wallMilliseconds);
    bool hasNew = m_hasLostClaims;
    std::erase_if(batch, [&](const PendingClaim &pending) {
        if (changed.merge(pending.m_claim, wallMilliseconds, hasNew))
            return false;
        ++counters.m_failed;
        pending.m_handler(std::nullopt, {ErrorKind::Overloaded, "the claims' shard is full"});
        return true;
    });
    if (!hasNew)
        return WriteResult::Applied;
    const WriteResult result = write(changed, now, counters);
    if (result == WriteResult::Applied)
        answerFrom(*m_cached, batch, wallMilliseconds, counters);
    return result;
}

void ClaimShardWriter::answerWhileSettling(std::vector<PendingClaim> &batch,
                                           std::uint64_t wallMilliseconds,
                                           ClaimServiceCounters &counters)
{
    if (m_cachedBeforeRestore)
        answerFrom(*m_cachedBeforeRestore, batch, wallMilliseconds, counters);
    for (const PendingClaim &pending : batch) {
        ++counters.m_failed;
        pending.m_handler(std::nullopt, {ErrorKind::PlatformUnavailable,
                                         "the platform came back from an older copy"});
    }
    batch.clear();
}

// An entry that has just started can't tell when the platform came back last.
void ClaimShardWriter::recordEra(std::uint64_t era, TimePoint now)
{
    const bool isRestored = m_era == 0 ? era >= firstRestoredEra : era > m_era;
    m_era = std::max(m_era, era);
    if (!isRestored)
        return;
    if (!m_settlesAt)
        m_cachedBeforeRestore = m_cached;
    m_settlesAt = now + restoreTime;
}

// Look-ups still in the batch weren't found in the object that was just read.
void ClaimShardWriter::answerLookUps(std::vector<PendingClaim> &batch)
{
    std::erase_if(batch, [](const PendingClaim &pending) {
        if (!isLookUp(pending))
            return false;
        pending.m_handler(std::nullopt, {ErrorKind::NoEndpoint, "the key is not bound"});
        return true;
    });
}

bool ClaimShardWriter::readShard(std::uint64_t wallMilliseconds, TimePoint now,
                                 ClaimServiceCounters &counters)
{
    ++counters.m_reads;
    const ReadAnswer reply =
        m_api.read(claimKind, m_objectName, Clock::now() + m_options.m_callTimeout);
    if (!reply.m_answered || reply.m_era < m_era)
        return false;
    const std::string value = reply.m_object ? reply.m_object->m_value : std::string();
    auto shard = ClaimShard::decode(value, m_options.m_shardLimits);
    if (!shard)
        return false;
    recordEra(reply.m_era, now);
    m_version = reply.m_object ? reply.m_object->m_version : 0;
    m_hasLostClaims = m_cached && shard->adopt(*m_cached, wallMilliseconds);
    m_cached = std::move(shard);
    m_isCacheCurrent = true;
    return true;
}

void ClaimShardWriter::answerFrom(const ClaimShard &shard, std::vector<PendingClaim> &batch,
                                  std::uint64_t wallMilliseconds, ClaimServiceCounters &counters)
{
    std::erase_if(batch, [&](const PendingClaim &pending) {
        const auto binding = shard.find(pending.m_claim.m_key, wallMilliseconds);
        if (!binding)
            return false;
        ++counters.m_claims;
        pending.m_handler(binding, {});
        return true;
    });
}

WriteResult ClaimShardWriter::write(const ClaimShard &changed, TimePoint now,
                                    ClaimServiceCounters &counters)
{
    ++counters.m_writes;
    const PlatformObject object{claimKind, m_objectName, m_version, changed.encode()};
    const WriteAnswer reply = m_api.write(object, Clock::now() + m_options.m_callTimeout);
    // The version may have been given out again: what was written over isn't known.
    if (reply.m_era > m_era) {
        recordEra(reply.m_era, now);
        m_isCacheCurrent = false;
        return WriteResult::Unknown;
    }
    if (reply.m_result == WriteResult::Applied) {
        m_version = reply.m_version;
        m_cached = changed;
        m_hasLostClaims = false;
        m_lastClaimAt = now;
        m_readsBeforeWrite -= std::min<std::uint32_t>(m_readsBeforeWrite, 1);
        if (++m_writesWithoutConflict >= writesPerBackoffStep) {
            m_backoffExponent -= std::min<std::uint32_t>(m_backoffExponent, 1);
            m_writesWithoutConflict = 0;
        }
        return reply.m_result;
    }
    if (reply.m_result == WriteResult::Conflict) {
        ++counters.m_conflicts;
        m_readsBeforeWrite = readsAfterConflict;
        m_backoffExponent = std::min(m_backoffExponent + 1, maxBackoffExponent);
        m_writesWithoutConflict = 0;
    }
    m_isCacheCurrent = false;
    return reply.m_result;
}

} // namespace burdockhead
