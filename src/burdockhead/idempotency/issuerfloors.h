#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace burdockhead {

// For each issuer of growing numbers, the highest number that was forgotten. Anything at or
// below it that is not known otherwise may have been seen before, and is treated so.
class IssuerFloors
{
public:
    // Remembers at most this many issuers.
    explicit IssuerFloors(std::size_t limit);

    // The number is forgotten.
    void raise(std::uint64_t issuer, std::uint64_t number);

    // True when the number may have been forgotten.
    bool mayBeForgotten(std::uint64_t issuer, std::uint64_t number) const;

    // False when an issuer that isn't known yet could not be remembered.
    bool hasRoomFor(std::uint64_t issuer) const;

private:
    std::size_t m_limit;
    std::unordered_map<std::uint64_t, std::uint64_t> m_floors;
};

} // namespace burdockhead
