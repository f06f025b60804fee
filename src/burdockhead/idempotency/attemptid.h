#pragma once

#include <cstdint>
#include <functional>

namespace burdockhead {

// Identifies one attempt at a request, as numbered by the entry that makes it. Duplicates of a
// message carry the same attempt id; a retry is a new attempt.
struct AttemptId
{
    std::uint64_t m_issuer = 0;   // Random number chosen when the entry's process starts.
    std::uint64_t m_sequence = 0; // Incremented by the issuer for each attempt, from 1.

    friend bool operator==(const AttemptId &, const AttemptId &) = default;
    friend bool operator<(const AttemptId &left, const AttemptId &right)
    {
        return left.m_issuer != right.m_issuer ? left.m_issuer < right.m_issuer
                                               : left.m_sequence < right.m_sequence;
    }
};

} // namespace burdockhead

template <>
struct std::hash<burdockhead::AttemptId>
{
    std::size_t operator()(const burdockhead::AttemptId &id) const noexcept
    {
        return id.m_issuer ^ (id.m_sequence * 0x9E3779B97F4A7C15ULL);
    }
};
