#pragma once

#include <burdockhead/expertmap/expertmap.h>
#include <burdockhead/expertmap/voterecord.h>

#include <optional>

namespace burdockhead {

// State that the engine stores for the step gate.
struct StepEngineState
{
    std::uint64_t m_nextStep = 0; // The step that the rank begins next.
    VoteRecord m_record;
};

// A rank's engine as seen by the step gate. Calls may block. No result means that the engine did
// not reply, and that the change may or may not have been applied.
class StepEngine
{
public:
    virtual ~StepEngine() = default;

    // Returns the step counter and the record stored with it.
    virtual std::optional<StepEngineState> read() = 0;

    // Stores a record and returns the state right afterwards. From then on no step from the
    // record's limit on begins, and each step uses the map version given by the record. An engine
    // that checks sequence numbers rejects a record whose number is not above the stored one, so
    // that delayed orders have no effect; other engines must not apply orders out of order.
    virtual std::optional<StepEngineState> store(const VoteRecord &record) = 0;

    // Starts or continues to load a map's experts; returns true once all are loaded.
    virtual bool stage(const ChangeId &id, const ExpertMap &map) = 0;
};

} // namespace burdockhead
