#pragma once

#include <burdockhead/base/name.h>

#include <cstdint>
#include <vector>

namespace burdockhead {

// Type of a group's endpoints.
enum class GroupType {
    Model,   // Ranks of one engine that run in lock-step on one expert map.
    Service, // Independent replicas of a plain service.
};

// A model group or a plain service of the configuration.
struct EndpointGroup
{
    GroupName m_name;
    GroupType m_type = GroupType::Model;
    ModelName m_model; // Empty for a plain service.
    std::vector<AdapterName> m_adapters;
    std::vector<KindName> m_kinds;   // Kinds of requests that the group serves.
    std::uint32_t m_coldLimit = 1;   // Concurrency limit of an endpoint in cold start.
    std::uint32_t m_warmLimit = 8;   // Concurrency limit of a warm endpoint.
    std::uint32_t m_queueLimit = 16; // Queue limit of an endpoint's agent, in requests.
    std::uint32_t m_ranks = 1;       // Ranks that run in lock-step; 1 for a plain service.
    std::uint32_t m_layers = 1;      // Layers with experts; ignored for a plain service.
    std::uint32_t m_expertsPerLayer = 1;
    std::uint32_t m_expertSlotsPerRank = 1; // Experts of one layer that a rank can hold.

    friend bool operator==(const EndpointGroup &, const EndpointGroup &) = default;
};

} // namespace burdockhead
