#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/expertmap/mapchangemessage.h>
#include <burdockhead/expertmap/rankmessage.h>
#include <burdockhead/expertmap/stepengine.h>
#include <burdockhead/expertmap/votetally.h>
#include <burdockhead/expertmap/votingrules.h>

#include <string>
#include <vector>

namespace burdockhead {

// A rank's participant in the atomic commit of map changes, the step gate. Replies to coordinators
// and peers, and collects its peers' votes itself when no coordinator sends the outcome. Not
// thread-safe. All durable state is kept by the engine, so the agent may restart at any time.
class ExpertMapAgent
{
public:
    // Creates the agent of one rank of a group; the engine must outlive the agent.
    ExpertMapAgent(std::uint32_t rank, std::uint32_t rankCount, StepEngine &engine);

    // Handles an encoded message and returns the encoded reply, empty if there is none.
    std::string handleBytes(const std::string &message, TimePoint now);

    // Handles a decoded message and returns the reply, if any.
    std::optional<MapChangeMessage> handleMessage(const MapChangeMessage &message, TimePoint now);

    // Returns the requests to send to peers; called a few times a second. Their replies are passed
    // to handleBytes() or handleMessage().
    std::vector<RankMessage> tick(TimePoint now);

private:
    using Reply = std::optional<MapChangeMessage>;

    Reply on(const RankStateRequest &message, TimePoint now);
    Reply on(const RankState &message, TimePoint now);
    Reply on(const StageMap &message, TimePoint now);
    Reply on(const MapStaged &message, TimePoint now);
    Reply on(const PrepareSwitch &message, TimePoint now);
    Reply on(const VoteRequest &message, TimePoint now);
    Reply on(const SwitchVote &message, TimePoint now);
    Reply on(const SwitchOutcome &message, TimePoint now);

    std::optional<StepEngineState> readState();
    std::optional<StepEngineState> storeRecord(const VoteRecord &record);
    std::optional<StepEngineState> storeWithNextSequence(VoteRecord record);
    std::optional<StepEngineState> withdrawLatePromise(std::optional<StepEngineState> state);
    Reply storeAndVote(const VoteResult &result, const MapChange &change);
    void applyOutcome(const ChangeId &id, bool isCommitted);

    std::uint32_t m_rank;
    std::uint32_t m_rankCount;
    StepEngine &m_engine;
    ChangeId m_lastStagedId; // The last change whose map has been loaded.
    VoteTally m_tally;       // Votes on the change that this rank has promised.
    TimePoint m_voteRequestsFrom;
};

} // namespace burdockhead
