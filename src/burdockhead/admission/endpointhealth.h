#pragma once

#include <optional>
#include <string>

namespace burdockhead {

// What an endpoint says of itself in a probe's answer or in a response's head.
struct EndpointHealth
{
    std::string m_bootId; // Changes with each start; empty from endpoints that give none.
    std::optional<bool> m_isReportedCold; // Whether it is in cold start; none when it doesn't say.

    friend bool operator==(const EndpointHealth &, const EndpointHealth &) = default;
};

} // namespace burdockhead
