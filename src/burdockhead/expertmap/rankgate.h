#pragma once

#include <burdockhead/expertmap/gaterecord.h>

namespace burdockhead {

// What a rank knows besides its record when it votes.
struct VoteFacts
{
    std::uint64_t m_nextStep = 0; // A step that it has not begun; may lag.
    bool m_staged = false;        // It has loaded the change's map.
};

// A rank's record after a decision. It must be stored at the engine before the vote that
// follows from it is sent.
struct GateDecision
{
    GateRecord m_record;
    bool m_promised = false;
};

// The rules by which a rank votes on changes of its expert map. A rank votes on each change
// once and in ascending order of change ids, so the verdict follows from the votes alone.
class RankGate
{
public:
    // The vote on a change that the rank is asked to prepare.
    static GateDecision prepare(const GateRecord &record, const MapChange &change,
                                const VoteFacts &facts);

    // The vote told to a peer or driver that works out the verdict. A rank that has not
    // voted refuses.
    static GateDecision vote(const GateRecord &record, const MapChange &change);

    // True when the engine began the promised step before the promise was stored. No one
    // has seen such a promise, and it must be withdrawn before anything else.
    static bool isLate(const GateRecord &record, std::uint64_t nextStep);

    // The record without its promise, which counts as a refusal from then on.
    static GateRecord withdraw(const GateRecord &record);

    // The record after the verdict on a change.
    static GateRecord resolve(const GateRecord &record, const ChangeId &id, bool live);
};

} // namespace burdockhead
