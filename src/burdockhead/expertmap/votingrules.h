#pragma once

#include <burdockhead/expertmap/voterecord.h>

namespace burdockhead {

// Inputs to a rank's vote besides its record.
struct VoteContext
{
    std::uint64_t m_nextStep =
        0;                   // The first step not begun when the state was read; may be outdated.
    bool m_isStaged = false; // The rank has loaded the change's map.
};

// A rank's vote and its record afterwards. The record must be stored at the engine before the vote
// is sent.
struct VoteResult
{
    VoteRecord m_record;
    bool m_isPromised = false;
};

// Rules by which a rank votes on changes of its expert map. A rank votes on each change once and in
// ascending order of change ids, so the votes alone determine the outcome.
class VotingRules
{
public:
    // Returns the vote on a change for which a coordinator requests a promise. The new map's
    // experts are loaded (staged) before.
    static VoteResult prepare(const VoteRecord &record, const MapChange &change,
                              const VoteContext &context);

    // Returns the vote for a peer or coordinator that determines the outcome. A rank that has not
    // voted refuses.
    static VoteResult voteForOutcome(const VoteRecord &record, const MapChange &change);

    // Returns true if the engine began the promised step before the promise was stored. Such a
    // promise was never sent, and must be withdrawn before anything else.
    static bool isPromiseLate(const VoteRecord &record, std::uint64_t nextStep);

    // Returns the record without its promise, which counts as a refusal from then on.
    static VoteRecord withdrawPromise(const VoteRecord &record);

    // Returns the record after the outcome of a change.
    static VoteRecord applyOutcome(const VoteRecord &record, const ChangeId &id, bool isCommitted);
};

} // namespace burdockhead
