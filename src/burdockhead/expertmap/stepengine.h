#pragma once

#include <burdockhead/expertmap/expertmap.h>
#include <burdockhead/expertmap/gaterecord.h>

#include <optional>

namespace burdockhead {

// What the engine keeps for the step gate.
struct StepEngineState
{
    std::uint64_t m_nextStep = 0; // The step that the rank begins next.
    GateRecord m_record;
};

// A rank's engine as the step gate uses it. Calls may block; none says that the engine did
// not answer and the change may or may not have been made.
class StepEngine
{
public:
    virtual ~StepEngine() = default;

    // Reads the step counter and the record stored with it.
    virtual std::optional<StepEngineState> read() = 0;

    // Stores a record. From then on no step from its limit on begins, and each step uses the
    // map version that the record names. An engine that checks refuses a record whose sequence
    // number is not above the stored one's, so that an order that was long under way does no
    // harm; others must not apply an order after a later one. The state is the one right after
    // storing.
    virtual std::optional<StepEngineState> store(const GateRecord &record) = 0;

    // Begins to load a map's experts, or goes on doing so; true once all are loaded.
    virtual bool stage(const ChangeId &id, const ExpertMap &map) = 0;
};

} // namespace burdockhead
