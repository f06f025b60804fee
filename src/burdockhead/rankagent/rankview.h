#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace burdockhead {

// A map that a rank will use from a step on.
struct ArmedMap
{
    std::uint64_t m_version = 0;
    std::uint64_t m_step = 0;

    friend bool operator==(const ArmedMap &, const ArmedMap &) = default;
};

// What a rank of a group says of itself.
struct RankView
{
    std::string m_group;
    std::uint64_t m_epoch = 0; // Grows each time that the group forms.
    std::uint32_t m_rank = 0;
    std::uint32_t m_ranks = 0;               // Ranks of the group.
    bool m_isOpen = false;                   // The group runs.
    std::uint64_t m_startedAt = 0;           // Of the rank's process, in milliseconds since 1970.
    std::uint64_t m_step = 0;                // The last one that was begun.
    std::uint64_t m_map = 0;                 // The version in use.
    std::optional<std::uint64_t> m_prepared; // A version whose experts are all loaded.
    std::optional<ArmedMap> m_armed;
    std::optional<std::uint64_t> m_held; // The step before which the group waits.
    double m_slowness = 1;               // Time for the same work, against a rank in good health.

    // Whether the rank has a map that isn't in use yet.
    bool isInChange() const { return m_armed || m_held || (m_prepared && *m_prepared > m_map); }

    friend bool operator==(const RankView &, const RankView &) = default;
};

} // namespace burdockhead
