#pragma once

#include <compare>
#include <cstdint>

namespace burdockhead {

// A revision of the platform's store. When the store comes back from an older copy, it gives out
// revisions again, in the next era; revisions order changes within one era only. The era is 0 where
// the store names none.
struct StoreRevision
{
    std::uint64_t m_era = 0;
    std::uint64_t m_number = 0;

    friend bool operator==(const StoreRevision &, const StoreRevision &) = default;
    friend std::strong_ordering operator<=>(const StoreRevision &, const StoreRevision &) = default;
};

// Convert to and from one number of the same order, as gateways tell it one another: the era is in
// the upper bits, so that gateways that don't know eras still compare it.
constexpr unsigned storeRevisionBits = 40;

constexpr std::uint64_t toNumber(const StoreRevision &revision)
{
    return (revision.m_era << storeRevisionBits) + revision.m_number;
}

constexpr StoreRevision storeRevisionFromNumber(std::uint64_t number)
{
    return {number >> storeRevisionBits, number & ((1ULL << storeRevisionBits) - 1)};
}

} // namespace burdockhead
