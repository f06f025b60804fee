#pragma once

#include <burdockhead/base/name.h>

#include <cstdint>

namespace burdockhead {

// One endpoint of a group: a rank of a model group or a replica of a plain service. Its
// address is not configured; its agent announces it.
struct Endpoint
{
    EndpointName m_name;
    GroupName m_group;
    DataCentreName m_dataCentre;
    std::uint32_t m_rank = 0;     // Position in the group, from 0.
    bool m_checksFencing = false; // Refuses orders with an old fencing number by itself.
    bool m_leaving = false;       // Operators want it drained.

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

} // namespace burdockhead
