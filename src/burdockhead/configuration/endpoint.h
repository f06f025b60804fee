#pragma once

#include <burdockhead/base/name.h>

#include <cstdint>

namespace burdockhead {

// An endpoint of a group: a rank of a model group or a replica of a plain service. Its address
// isn't configured; the endpoint's agent announces it.
struct Endpoint
{
    EndpointName m_name;
    GroupName m_group;
    DataCentreName m_dataCentre;
    std::uint32_t m_rank = 0;     // Position in the group, from 0.
    bool m_checksFencing = false; // The endpoint itself refuses orders with an old fencing number.
    bool m_leaving = false;       // It is to be drained.

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

} // namespace burdockhead
