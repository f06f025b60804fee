#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace burdockhead {

// For each issuer of growing numbers, the highest number that was forgotten. Anything at or
// below it that is not known otherwise may have been seen before, and is treated so.
class IssuerFloors
{
public:
    // Remembers at most this many issuers, and each for at least this long.
    IssuerFloors(std::size_t limit, Duration retention);

    // The number is forgotten.
    void raise(std::uint64_t issuer, std::uint64_t number, TimePoint now);

    // True when the number may have been forgotten.
    bool mayBeForgotten(std::uint64_t issuer, std::uint64_t number) const;

    // False when an issuer that isn't known yet could not be remembered. Makes room by
    // dropping issuers whose retention is over.
    bool hasRoomFor(std::uint64_t issuer, TimePoint now);

private:
    struct Floor
    {
        std::uint64_t m_number = 0;
        TimePoint m_keptUntil;
    };

    std::size_t m_limit;
    Duration m_retention;
    std::unordered_map<std::uint64_t, Floor> m_floors;
};

} // namespace burdockhead
