#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/expertmap/gatemessage.h>
#include <burdockhead/expertmap/rankgate.h>
#include <burdockhead/expertmap/rankmessage.h>
#include <burdockhead/expertmap/stepengine.h>
#include <burdockhead/expertmap/votetally.h>

#include <string>
#include <vector>

namespace burdockhead {

// The agent's side of the step gate: answers drivers and peers, and works out the verdict
// from its peers when no driver tells it. Not thread-safe. All that must last lies in the
// engine, so the agent may be replaced at any time.
class ExpertMapAgent
{
public:
    // For one rank of a group; the engine must outlive the agent.
    ExpertMapAgent(std::uint32_t rank, std::uint32_t rankCount, StepEngine &engine);

    // Answers an encoded message; the answer is empty when there is none.
    std::string handle(const std::string &message, TimePoint now);

    // The same with typed messages.
    std::optional<GateMessage> answer(const GateMessage &message, TimePoint now);

    // To be called a few times a second: the questions to put to the peers, whose answers
    // are then given to handle() or answer().
    std::vector<RankMessage> tick(TimePoint now);

private:
    using Reply = std::optional<GateMessage>;

    Reply on(const AskRankState &message, TimePoint now);
    Reply on(const RankState &message, TimePoint now);
    Reply on(const StageMap &message, TimePoint now);
    Reply on(const MapStaged &message, TimePoint now);
    Reply on(const PrepareSwitch &message, TimePoint now);
    Reply on(const AskVote &message, TimePoint now);
    Reply on(const SwitchVote &message, TimePoint now);
    Reply on(const SwitchVerdict &message, TimePoint now);

    std::optional<StepEngineState> read();
    std::optional<StepEngineState> store(const GateRecord &record);
    std::optional<StepEngineState> storeNext(GateRecord record);
    std::optional<StepEngineState> withoutLatePromise(std::optional<StepEngineState> state);
    Reply send(const GateDecision &decision, const MapChange &change);
    void resolve(const ChangeId &id, bool live);

    std::uint32_t m_rank;
    std::uint32_t m_rankCount;
    StepEngine &m_engine;
    ChangeId m_staged; // The last change whose map is loaded.
    VoteTally m_tally; // Of the change that this rank has promised.
    TimePoint m_askFrom;
};

} // namespace burdockhead
