#include <burdockhead/expertmap/votingrules.h>

namespace burdockhead {

namespace {

// Returns true if the rank promised the change and the change was not aborted. The promise of an
// aborted change counts as a refusal, which leaves the outcome the same.
bool hasPromised(const VoteRecord &record, const MapChange &change)
{
    return record.m_promisedChange == change
           || (change.m_version > 0 && record.m_committedChange == change);
}

bool hasVoted(const VoteRecord &record, const ChangeId &id)
{
    return id <= record.m_highestVotedId;
}

bool mayPromise(const VoteRecord &record, const MapChange &change, const VoteContext &context)
{
    // The last change must have taken effect before the next one is promised, since the record
    // holds only one committed change.
    const bool isLastChangeInEffect =
        !record.m_promisedChange && context.m_nextStep > record.m_committedChange.m_firstStep;
    return isLastChangeInEffect && context.m_isStaged
           && change.m_baseVersion == record.m_committedChange.m_version
           && change.m_version > change.m_baseVersion && change.m_firstStep > context.m_nextStep;
}

} // namespace

VoteResult VotingRules::prepare(const VoteRecord &record, const MapChange &change,
                                const VoteContext &context)
{
    if (hasVoted(record, change.m_id))
        return {record, hasPromised(record, change)};
    VoteResult result{record, mayPromise(record, change, context)};
    result.m_record.m_highestVotedId = change.m_id;
    if (result.m_isPromised)
        result.m_record.m_promisedChange = change;
    return result;
}

VoteResult VotingRules::voteForOutcome(const VoteRecord &record, const MapChange &change)
{
    VoteResult result{record, hasPromised(record, change)};
    if (!hasVoted(record, change.m_id))
        result.m_record.m_highestVotedId = change.m_id;
    return result;
}

bool VotingRules::isPromiseLate(const VoteRecord &record, std::uint64_t nextStep)
{
    return record.m_promisedChange && nextStep > record.m_promisedChange->m_firstStep;
}

VoteRecord VotingRules::withdrawPromise(const VoteRecord &record)
{
    VoteRecord withdrawn = record;
    withdrawn.m_promisedChange.reset();
    return withdrawn;
}

VoteRecord VotingRules::applyOutcome(const VoteRecord &record, const ChangeId &id, bool isCommitted)
{
    if (!record.m_promisedChange || record.m_promisedChange->m_id != id)
        return record;
    VoteRecord updated = record;
    if (isCommitted)
        updated.m_committedChange = *record.m_promisedChange;
    updated.m_promisedChange.reset();
    return updated;
}

} // namespace burdockhead
