#pragma once

#include <burdockhead/expertmap/mapchange.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace burdockhead {

// Requests a RankState.
struct RankStateRequest
{
    friend bool operator==(const RankStateRequest &, const RankStateRequest &) = default;
};

// Reply of a rank to RankStateRequest.
struct RankState
{
    std::uint32_t m_rank = 0;
    std::uint64_t m_nextStep = 0;         // The step that the rank begins next.
    std::uint64_t m_committedVersion = 0; // Version of the last committed map.
    bool m_isAwaitingOutcome = false;     // It has promised a change of unknown outcome.
    ChangeId m_highestVotedId;

    friend bool operator==(const RankState &, const RankState &) = default;
};

// Sends a rank the new map, whose experts it loads before the change.
struct StageMap
{
    ChangeId m_id;
    std::string m_encodedMap; // An encoded ExpertMap.

    friend bool operator==(const StageMap &, const StageMap &) = default;
};

// Reports that a rank has loaded its experts of the staged map.
struct MapStaged
{
    ChangeId m_id;
    std::uint32_t m_rank = 0;

    friend bool operator==(const MapStaged &, const MapStaged &) = default;
};

// Requests a promise not to begin the change's first step before the outcome is known. The experts
// were loaded before, by StageMap.
struct PrepareSwitch
{
    MapChange m_change;

    friend bool operator==(const PrepareSwitch &, const PrepareSwitch &) = default;
};

// Requests a rank's vote. A rank that has not voted yet refuses permanently.
struct VoteRequest
{
    MapChange m_change;

    friend bool operator==(const VoteRequest &, const VoteRequest &) = default;
};

// A rank's vote on a change. It never changes in a way that affects the outcome.
struct SwitchVote
{
    ChangeId m_id;
    std::uint32_t m_rank = 0;
    bool m_isPromised = false;

    friend bool operator==(const SwitchVote &, const SwitchVote &) = default;
};

// Outcome of a change, determined by all votes on it.
struct SwitchOutcome
{
    ChangeId m_id;
    bool m_isCommitted = false;

    friend bool operator==(const SwitchOutcome &, const SwitchOutcome &) = default;
};

// A message between a rank's agent, its peers and the coordinator of a change.
using MapChangeMessage = std::variant<RankStateRequest, RankState, StageMap, MapStaged,
                                      PrepareSwitch, VoteRequest, SwitchVote, SwitchOutcome>;

// Serialize a message, and parse it; parsing fails if the bytes are malformed.
std::string encodeMapChangeMessage(const MapChangeMessage &message);
std::optional<MapChangeMessage> decodeMapChangeMessage(std::string_view bytes);

} // namespace burdockhead
