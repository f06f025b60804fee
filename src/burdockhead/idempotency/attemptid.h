#pragma once

#include <cstdint>
#include <functional>

namespace burdockhead {

// One attempt at a request, as the entry that makes it numbers it. Copies of a message carry
// the same attempt id; a retry is a new attempt.
struct AttemptId
{
    std::uint64_t m_issuer = 0;   // Drawn at random when the entry's process starts.
    std::uint64_t m_sequence = 0; // Grows with each attempt that the issuer makes, from 1.

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
