#pragma once

#include <burdockhead/expertmap/mapchange.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace burdockhead {

// Asks a rank for its state.
struct AskRankState
{
    friend bool operator==(const AskRankState &, const AskRankState &) = default;
};

// A rank's answer to AskRankState.
struct RankState
{
    std::uint32_t m_rank = 0;
    std::uint64_t m_nextStep = 0; // The step that it begins next.
    std::uint64_t m_version = 0;  // Of the last map that went live.
    bool m_waiting = false;       // It has promised and doesn't know the verdict.
    ChangeId m_highest;

    friend bool operator==(const RankState &, const RankState &) = default;
};

// Hands a rank the new map, whose experts it loads ahead of the change.
struct StageMap
{
    ChangeId m_id;
    std::string m_map; // An encoded ExpertMap.

    friend bool operator==(const StageMap &, const StageMap &) = default;
};

// A rank has loaded what the staged map asks of it.
struct MapStaged
{
    ChangeId m_id;
    std::uint32_t m_rank = 0;

    friend bool operator==(const MapStaged &, const MapStaged &) = default;
};

// Asks a rank to promise that it stops before the change's step.
struct PrepareSwitch
{
    MapChange m_change;

    friend bool operator==(const PrepareSwitch &, const PrepareSwitch &) = default;
};

// Asks a rank for its vote. One that has not voted yet refuses, for good.
struct AskVote
{
    MapChange m_change;

    friend bool operator==(const AskVote &, const AskVote &) = default;
};

// A rank's vote on a change; it never becomes another one that changes the verdict.
struct SwitchVote
{
    ChangeId m_id;
    std::uint32_t m_rank = 0;
    bool m_promised = false;

    friend bool operator==(const SwitchVote &, const SwitchVote &) = default;
};

// What follows from all votes on a change.
struct SwitchVerdict
{
    ChangeId m_id;
    bool m_live = false;

    friend bool operator==(const SwitchVerdict &, const SwitchVerdict &) = default;
};

// A message between a rank's agent, its peers and whoever drives a change.
using GateMessage = std::variant<AskRankState, RankState, StageMap, MapStaged, PrepareSwitch,
                                 AskVote, SwitchVote, SwitchVerdict>;

// The message as bytes, and back; none when malformed.
std::string encodeGateMessage(const GateMessage &message);
std::optional<GateMessage> decodeGateMessage(std::string_view bytes);

} // namespace burdockhead
