#pragma once

#include <burdockhead/base/endpointrun.h>
#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>

#include <map>
#include <set>
#include <string>

namespace burdockhead {

// What one gateway, or several together, know of the crash of an endpoint.
struct CrashReport
{
    EndpointRun m_endpoint;
    GroupName m_service;
    TimePoint m_crashedAt;
    TimePoint m_lastProgressAt; // The last event of any stream of the service before the crash.
    // Identifiers of the prompt parts of requests that the endpoint may just have begun to answer.
    std::set<std::string> m_suspects;
    // Fingerprints of the requests that it had not answered whole and of their contents, and when
    // the latest request with each was sent to it.
    std::map<std::string, TimePoint> m_requests = {};

    bool hasSuspects() const { return !m_suspects.empty() || !m_requests.empty(); }

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

} // namespace burdockhead
