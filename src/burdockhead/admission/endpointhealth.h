#pragma once

#include <string>

namespace burdockhead {

// What an endpoint says of itself in a probe's answer or in a response's head.
struct EndpointHealth
{
    std::string m_bootId;    // Changes with each start; empty from endpoints that give none.
    bool m_saysCold = false; // The endpoint itself says that it is in cold start.

    friend bool operator==(const EndpointHealth &, const EndpointHealth &) = default;
};

} // namespace burdockhead
