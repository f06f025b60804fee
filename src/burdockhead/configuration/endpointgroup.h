#pragma once

#include <burdockhead/base/name.h>

#include <cstdint>
#include <vector>

namespace burdockhead {

// What the endpoints of a group are.
enum class GroupType {
    Model,   // Ranks of one engine, in lock-step on one expert map.
    Service, // Replicas of a plain service, each on its own.
};

// A model group or a plain service, as the operators declare it.
struct EndpointGroup
{
    GroupName m_name;
    GroupType m_type = GroupType::Model;
    ModelName m_model; // Empty for a plain service.
    std::vector<AdapterName> m_adapters;
    std::vector<KindName> m_kinds;   // The kinds of request that it answers.
    std::uint32_t m_coldLimit = 1;   // Requests that an endpoint in cold start can carry.
    std::uint32_t m_warmLimit = 8;   // Requests that a warm endpoint runs at a time.
    std::uint32_t m_queueLimit = 16; // Requests that may wait at an endpoint's agent.
    std::uint32_t m_ranks = 1;       // Ranks in lock-step; 1 for a plain service.
    std::uint32_t m_layers = 1;      // Layers with experts; ignored for a plain service.
    std::uint32_t m_expertsPerLayer = 1;
    std::uint32_t m_expertSlotsPerRank = 1; // Experts of one layer that a rank can hold.

    friend bool operator==(const EndpointGroup &, const EndpointGroup &) = default;
};

} // namespace burdockhead
