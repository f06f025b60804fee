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

void ClaimShardWriter::process(std::vector<PendingClaim> &batch, std::uint64_t wallMilliseconds,
                               ClaimServiceCounters &counters)
{
    for (int tries = 0; tries < maxTries && !batch.empty(); ++tries) {
        if (processOnce(batch, wallMilliseconds, counters) != WriteResult::Conflict)
            return;
    }
}

WriteResult ClaimShardWriter::processOnce(std::vector<PendingClaim> &batch,
                                          std::uint64_t wallMilliseconds,
                                          ClaimServiceCounters &counters)
{
    if (m_cached)
        answerFromCache(batch, wallMilliseconds, counters);
    if (batch.empty())
        return WriteResult::Applied;
    const bool mustRead =
        !m_isCacheCurrent || m_readsBeforeWrite > 0 || std::ranges::any_of(batch, isLookUp);
    if (mustRead && !readShard(counters))
        return WriteResult::Unknown;
    answerFromCache(batch, wallMilliseconds, counters);
    answerLookUps(batch);
    ClaimShard changed = *m_cached;
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
        answerFromCache(batch, wallMilliseconds, counters);
    return result;
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

bool ClaimShardWriter::readShard(ClaimServiceCounters &counters)
{
    ++counters.m_reads;
    const ReadAnswer reply =
        m_api.read(claimKind, m_objectName, Clock::now() + m_options.m_callTimeout);
    if (!reply.m_answered)
        return false;
    const std::string value = reply.m_object ? reply.m_object->m_value : std::string();
    auto shard = ClaimShard::decode(value, m_options.m_shardLimits);
    if (!shard)
        return false;
    m_version = reply.m_object ? reply.m_object->m_version : 0;
    m_cached = std::move(shard);
    m_isCacheCurrent = true;
    return true;
}

void ClaimShardWriter::answerFromCache(std::vector<PendingClaim> &batch,
                                       std::uint64_t wallMilliseconds,
                                       ClaimServiceCounters &counters)
{
    std::erase_if(batch, [&](const PendingClaim &pending) {
        const auto binding = m_cached->find(pending.m_claim.m_key, wallMilliseconds);
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
    const PlatformObject object{claimKind, m_objectName, m_version, changed.encode()};
    const WriteAnswer reply = m_api.write(object, Clock::now() + m_options.m_callTimeout);
    if (reply.m_result == WriteResult::Applied) {
        m_version = reply.m_version;
        m_cached = changed;
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
