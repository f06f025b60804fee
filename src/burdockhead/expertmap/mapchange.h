#pragma once

#include <compare>
#include <cstdint>

namespace burdockhead {

// Identifies one attempt to change a group's expert map. Attempts are ordered first by their
// coordinator's fencing token, which the platform issues only once.
struct ChangeId
{
    std::uint64_t m_fence = 0;
    std::uint64_t m_attempt = 0;

    friend auto operator<=>(const ChangeId &,
                            const ChangeId &) = default; // NOLINT(modernize-use-nullptr)
};

// A change of a group's expert map that takes effect at a given step. It is committed if and only
// if every rank promised not to begin that step before the outcome is known.
struct MapChange
{
    ChangeId m_id;
    std::uint64_t m_baseVersion = 0; // Version of the map to replace.
    std::uint64_t m_version = 0;     // Version of the new map, above the base version.
    std::uint64_t m_firstStep = 0;   // First step that uses the new map.

    friend bool operator==(const MapChange &, const MapChange &) = default;
};

} // namespace burdockhead
