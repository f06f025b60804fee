#pragma once

#include <optional>
#include <string>

namespace burdockhead {

// State that an endpoint reports in a probe's response or in a response head.
struct EndpointHealth
{
    std::string m_bootId; // Changes with each start; empty if the endpoint reports none.
    std::optional<bool> m_isReportedCold; // Whether it is in cold start; none if not reported.

    friend bool operator==(const EndpointHealth &, const EndpointHealth &) = default;
};

} // namespace burdockhead
