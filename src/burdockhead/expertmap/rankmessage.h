#pragma once

#include <burdockhead/expertmap/mapchangemessage.h>

#include <cstdint>

namespace burdockhead {

// A message addressed to the agent of one rank.
struct RankMessage
{
    std::uint32_t m_rank = 0;
    MapChangeMessage m_message;

    friend bool operator==(const RankMessage &, const RankMessage &) = default;
};

} // namespace burdockhead
