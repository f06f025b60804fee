#pragma once

#include <burdockhead/expertmap/gaterecord.h>

namespace burdockhead {

// Inputs to a rank's vote besides its record.
struct VoteContext
{
    std::uint64_t m_nextStep = 0; // A step not begun when it was read; may be outdated.
    bool m_isStaged = false;      // The rank has loaded the change's map.
};

// A rank's vote and its record afterwards. The record must be stored at the engine before the vote
// is sent.
struct VoteResult
{
    GateRecord m_record;
    bool m_isPromised = false;
};

// Rules by which a rank votes on changes of its expert map. A rank votes on each change once and in
// ascending order of change ids, so the votes alone determine the outcome.
class VotingRules
{
public:
    // Returns the vote on a change that the rank is asked to prepare.
    static VoteResult prepare(const GateRecord &record, const MapChange &change,
                              const VoteContext &context);

    // Returns the vote for a peer or coordinator that determines the outcome. A rank that has not
    // voted refuses.
    static VoteResult vote(const GateRecord &record, const MapChange &change);

    // Returns true if the engine began the promised step before the promise was stored. Such a
    // promise was never sent, and must be withdrawn before anything else.
    static bool isPromiseLate(const GateRecord &record, std::uint64_t nextStep);

    // Returns the record without its promise, which counts as a refusal from then on.
    static GateRecord withdrawPromise(const GateRecord &record);

    // Returns the record after the outcome of a change.
    static GateRecord applyOutcome(const GateRecord &record, const ChangeId &id, bool isLive);
};

} // namespace burdockhead
