#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/expertmap/expertmap.h>
#include <burdockhead/expertmap/mapchangemessage.h>
#include <burdockhead/expertmap/rankmessage.h>
#include <burdockhead/expertmap/votetally.h>

#include <optional>
#include <vector>

namespace burdockhead {

// Timing of a map change.
struct MapChangeOptions
{
    std::uint64_t m_marginSteps = 200; // Steps from the promise requests to the new map.
    Milliseconds m_voteTimeout{300};   // Then ranks without a vote are asked for one, and refuse.
    Milliseconds m_meanBackoff{200};   // Mean delay before the next attempt.
};

// State of a map change; the last two are final.
enum class MapChangeState {
    QueryingStates,  // Queries the ranks' map versions.
    Staging,         // Waits until every rank has loaded the new map's experts.
    ChoosingStep,    // Queries the ranks' steps, to choose the first step of the new map.
    CollectingVotes, // Requests promises and collects the votes.
    SendingOutcome,  // Sends the outcome to the ranks.
    BackingOff,      // Waits before the next attempt.
    Committed,       // Every rank promised the change.
    Superseded,      // Another map was committed, or a higher fencing token used.
};

// Coordinates the atomic commit of one change of a group's expert map. Any process can run it, and
// it may crash at any point: the ranks determine the outcome without it. Not thread-safe.
class MapChangeCoordinator
{
public:
    // The fencing token is issued by the platform and used by no other coordinator. A map without
    // a version gets the one after the version that the ranks report.
    MapChangeCoordinator(std::uint64_t fence, std::uint32_t rankCount, ExpertMap map,
                         const MapChangeOptions &options);

    // Returns the messages to send now; called a few times a second. Messages without a reply are
    // sent again.
    std::vector<RankMessage> tick(TimePoint now, Random &random);

    // Handles a rank's reply.
    void onReply(const MapChangeMessage &message, TimePoint now);

    MapChangeState state() const { return m_state; }

    // Returns the number of attempts so far.
    std::uint64_t attempts() const { return m_id.m_attempt; }

private:
    using Messages = std::vector<RankMessage>;
    using StateHandler = Messages (MapChangeCoordinator::*)(TimePoint now, Random &random);

    Messages queryRankStates(TimePoint now, Random &random);
    Messages stageMap(TimePoint now, Random &random);
    Messages chooseFirstStep(TimePoint now, Random &random);
    Messages collectVotes(TimePoint now, Random &random);
    Messages sendOutcome(TimePoint now, Random &random);
    Messages backOff(TimePoint now, Random &random);
    Messages idle(TimePoint now, Random &random);

    void onRankState(const RankState &state);
    bool hasAllRankStates() const;
    bool isSuperseded() const;
    Messages requestMissingStates() const;
    Messages messagesToAll(const MapChangeMessage &message) const;

    std::uint32_t m_rankCount;
    ExpertMap m_map;
    std::string m_encodedMap;
    MapChangeOptions m_options;
    MapChangeState m_state = MapChangeState::QueryingStates;
    ChangeId m_id;
    std::vector<std::optional<RankState>> m_rankStates;
    std::vector<bool> m_isStaged;
    VoteTally m_tally;
    TimePoint m_voteDeadline;
    TimePoint m_nextAttemptAt;
};

} // namespace burdockhead
