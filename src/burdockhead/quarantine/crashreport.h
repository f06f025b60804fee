#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>

#include <compare>
#include <cstdint>
#include <set>
#include <string>

namespace burdockhead {

// One run of an endpoint, which may start again under its name.
struct EndpointRun
{
    EndpointName m_name;
    std::uint64_t m_startedAt = 0; // In milliseconds since 1970; 0 if unknown.

    friend bool operator==(const EndpointRun &, const EndpointRun &) = default;
    friend std::strong_ordering operator<=>(const EndpointRun &, const EndpointRun &) = default;
};

// What one gateway, or several together, know of the crash of an endpoint.
struct CrashReport
{
    EndpointRun m_endpoint;
    GroupName m_service;
    TimePoint m_crashedAt;
    TimePoint m_lastProgressAt; // The last event of any stream of the service before the crash.
    // Identifiers of the prompt parts of requests that the endpoint may just have begun to answer.
    std::set<std::string> m_suspects;

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

} // namespace burdockhead
