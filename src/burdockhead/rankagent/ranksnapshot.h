#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace burdockhead {

// Map that a rank will use from a step on.
struct ArmedMap
{
    std::uint64_t m_version = 0;
    std::uint64_t m_step = 0;

    friend bool operator==(const ArmedMap &, const ArmedMap &) = default;
};

// State that a rank of a group reports.
struct RankSnapshot
{
    std::string m_group;
    std::uint64_t m_epoch = 0; // Increases each time that the group forms.
    std::uint32_t m_rank = 0;
    std::uint32_t m_rankCount = 0; // Ranks of the group.
    bool m_isGroupRunning = false;
    std::uint64_t m_startedAt = 0;  // Start of the rank's process, in milliseconds since 1970.
    std::uint64_t m_step = 0;       // Last step started.
    std::uint64_t m_mapVersion = 0; // Version of the active map.
    std::optional<std::uint64_t> m_preparedVersion; // Version whose experts are all loaded.
    std::optional<ArmedMap> m_armed;
    std::optional<std::uint64_t> m_heldStep; // Step before which the group waits.
    double m_slowness = 1;                   // Time for the same work, relative to a healthy rank.
    std::optional<std::uint64_t> m_sequence = {}; // Orders accepted; none if it isn't reported.

    // Whether the rank has prepared or armed a map that isn't active yet, or holds the group.
    bool isChangingMap() const
    {
        return m_armed || m_heldStep || (m_preparedVersion && *m_preparedVersion > m_mapVersion);
    }

    // Whether the same run of the rank reported this state before the other one.
    bool isEarlierThan(const RankSnapshot &other) const
    {
        return m_startedAt == other.m_startedAt && m_group == other.m_group
               && std::pair(m_epoch, m_step) < std::pair(other.m_epoch, other.m_step);
    }

    friend bool operator==(const RankSnapshot &, const RankSnapshot &) = default;
};

} // namespace burdockhead
