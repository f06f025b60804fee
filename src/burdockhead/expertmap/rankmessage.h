#pragma once

#include <burdockhead/expertmap/gatemessage.h>

#include <cstdint>

namespace burdockhead {

// A message addressed to the agent of one rank.
struct RankMessage
{
    std::uint32_t m_rank = 0;
    GateMessage m_message;

    friend bool operator==(const RankMessage &, const RankMessage &) = default;
};

} // namespace burdockhead
