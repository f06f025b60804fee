#pragma once

#include <cstdint>
#include <optional>

namespace burdockhead {

// Orders that a rank accepts.
enum class RankOrderType : std::uint8_t {
    Prepare, // Load the experts of a map.
    Arm,     // Use the prepared map from a step on.
    Disarm,  // Cancel Arm.
    Hold,    // Don't start a step until Resume.
    Resume,
};

// Name in logs and in messages to engines.
const char *toString(RankOrderType type);

// Order to one rank, valid in one epoch of the group only.
struct RankOrder
{
    std::uint32_t m_rank = 0;
    RankOrderType m_type = RankOrderType::Prepare;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_version = 0; // Of the map, for Prepare, Arm and Disarm.
    std::uint64_t m_step = 0;    // For Arm, Hold and Resume.
    // The rank refuses the order if it has accepted another number of orders.
    std::optional<std::uint64_t> m_expectedSequence = {};

    friend bool operator==(const RankOrder &, const RankOrder &) = default;
};

} // namespace burdockhead
