#pragma once

#include <burdockhead/base/endpointrun.h>
#include <burdockhead/base/timepoint.h>

#include <optional>

namespace burdockhead {

// What an endpoint said in a response of the rate of requests that it takes.
struct RateStatement
{
    EndpointRun m_endpoint;
    std::optional<double> m_requestsPerSecond; // From all gateways together; none for any rate.
    // The endpoint made the statement between these times: when the request was sent, and when the
    // response began.
    TimePoint m_requestedAt;
    TimePoint m_respondedAt;

    friend bool operator==(const RateStatement &, const RateStatement &) = default;
};

} // namespace burdockhead
