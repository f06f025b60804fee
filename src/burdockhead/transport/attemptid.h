#pragma once

#include <burdockhead/base/requestid.h>

#include <compare>
#include <cstdint>

namespace burdockhead {

// One try of a request at one agent. The sender is the entry's incarnation, so that two
// entries that serve the same request never share an attempt.
struct AttemptId
{
    RequestId m_request;
    std::uint64_t m_sender = 0;
    std::uint32_t m_number = 0;

    friend auto operator<=>(const AttemptId &, const AttemptId &) = default;
};

} // namespace burdockhead

template <>
struct std::hash<burdockhead::AttemptId>
{
    std::size_t operator()(const burdockhead::AttemptId &id) const noexcept
    {
        return std::hash<burdockhead::RequestId>()(id.m_request) ^ (id.m_sender << 1) ^ id.m_number;
    }
};
