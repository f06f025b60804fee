#pragma once

#include <burdockhead/base/name.h>

#include <compare>
#include <cstdint>

namespace burdockhead {

// One run of an endpoint, which may start again under its name.
struct EndpointRun
{
    EndpointName m_name;
    std::uint64_t m_startedAt = 0; // In milliseconds since 1970; 0 if unknown.

    friend bool operator==(const EndpointRun &, const EndpointRun &) = default;
    friend std::strong_ordering operator<=>(const EndpointRun &, const EndpointRun &) = default;
};

} // namespace burdockhead
