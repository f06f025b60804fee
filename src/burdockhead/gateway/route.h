#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>
#include <string>
#include <vector>

namespace burdockhead {

// What may be done again with a request.
enum class RouteKind {
    Idempotent,    // May run more than once.
    NonIdempotent, // Runs once at the most.
    Stream,        // Answers with events; see Route::m_isResumable.
};

// A service with its part of a route's requests.
struct WeightedService
{
    GroupName m_service;
    std::uint32_t m_weight = 1;

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

// The requests of one host under one path prefix, and how they are served.
struct Route
{
    std::string m_name;
    std::string m_host;
    std::string m_pathPrefix; // Begins and ends with a slash.
    RouteKind m_kind = RouteKind::NonIdempotent;
    bool m_isResumable = false; // A stream that may go on at another endpoint.
    bool m_isPublic = false;    // Needs no credential.
    Milliseconds m_timeout{30000};
    Milliseconds m_firstByteObjective{1000}; // Until the first byte.
    Milliseconds m_maxEventInterval{0};      // Between a stream's events; 0: not declared.
    Milliseconds m_eventTimeout{0};  // A stream without an event for as long is left; 0: none is.
    std::uint32_t m_priority = 0;    // 0 is the most urgent.
    std::uint32_t m_maxAttempts = 1; // Endpoints that one request may be sent to.
    std::vector<WeightedService> m_services;

    // Whether a request may run more than once.
    bool isRepeatable() const
    {
        return m_kind == RouteKind::Idempotent || (m_kind == RouteKind::Stream && m_isResumable);
    }

    friend bool operator==(const Route &, const Route &) = default;
};

} // namespace burdockhead
