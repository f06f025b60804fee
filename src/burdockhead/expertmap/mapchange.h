#pragma once

#include <compare>
#include <cstdint>

namespace burdockhead {

// Names one attempt to change a group's expert map. Attempts are ordered first by the
// fencing number of the process that makes them, which the platform hands out once.
struct ChangeId
{
    std::uint64_t m_fence = 0;
    std::uint64_t m_attempt = 0;

    friend auto operator<=>(const ChangeId &,
                            const ChangeId &) = default; // NOLINT(modernize-use-nullptr)
};

// A change of a group's expert map from one step on. It goes live if every rank promised
// to stop before that step, and never otherwise.
struct MapChange
{
    ChangeId m_id;
    std::uint64_t m_baseVersion = 0; // The map that it replaces.
    std::uint64_t m_version = 0;     // The new map's version, above the base version.
    std::uint64_t m_step = 0;        // The first step that uses the new map.

    friend bool operator==(const MapChange &, const MapChange &) = default;
};

} // namespace burdockhead
