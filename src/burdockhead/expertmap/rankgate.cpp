#include <burdockhead/expertmap/rankgate.h>

namespace burdockhead {

namespace {

// True when the record shows that the rank promised the change and it was not given up.
// A promise whose change was given up counts as a refusal: the verdict stays the same.
bool hasPromised(const GateRecord &record, const MapChange &change)
{
    return record.m_promise == change || (change.m_version > 0 && record.m_live == change);
}

bool hasVoted(const GateRecord &record, const ChangeId &id)
{
    return id <= record.m_highest;
}

bool mayPromise(const GateRecord &record, const MapChange &change, const VoteFacts &facts)
{
    // The last change must be in force before the next one is promised, since the record
    // holds one change of version only.
    const bool settled = !record.m_promise && facts.m_nextStep > record.m_live.m_step;
    return settled && facts.m_staged && change.m_baseVersion == record.m_live.m_version
           && change.m_version > change.m_baseVersion && change.m_step > facts.m_nextStep;
}

} // namespace

GateDecision RankGate::prepare(const GateRecord &record, const MapChange &change,
                               const VoteFacts &facts)
{
    if (hasVoted(record, change.m_id))
        return {record, hasPromised(record, change)};
    GateDecision decision{record, mayPromise(record, change, facts)};
    decision.m_record.m_highest = change.m_id;
    if (decision.m_promised)
        decision.m_record.m_promise = change;
    return decision;
}

GateDecision RankGate::vote(const GateRecord &record, const MapChange &change)
{
    GateDecision decision{record, hasPromised(record, change)};
    if (!hasVoted(record, change.m_id))
        decision.m_record.m_highest = change.m_id;
    return decision;
}

bool RankGate::isLate(const GateRecord &record, std::uint64_t nextStep)
{
    return record.m_promise && nextStep > record.m_promise->m_step;
}

GateRecord RankGate::withdraw(const GateRecord &record)
{
    GateRecord withdrawn = record;
    withdrawn.m_promise.reset();
    return withdrawn;
}

GateRecord RankGate::resolve(const GateRecord &record, const ChangeId &id, bool live)
{
    if (!record.m_promise || record.m_promise->m_id != id)
        return record;
    GateRecord resolved = record;
    if (live)
        resolved.m_live = *record.m_promise;
    resolved.m_promise.reset();
    return resolved;
}

} // namespace burdockhead
