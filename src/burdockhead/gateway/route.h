#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>
#include <string>
#include <vector>

namespace burdockhead {

// How often a request may run, and whether its response is a stream.
enum class RouteKind {
    Idempotent,    // May run more than once.
    NonIdempotent, // Runs once at most.
    Stream,        // Responds with events; runs once at most unless Route::m_isResumable.
};

// A service and its weight among those of a route.
struct WeightedService
{
    GroupName m_service;
    std::uint32_t m_weight = 1;

    friend bool operator==(const WeightedService &, const WeightedService &) = default;
};

// Requests of one host below one path prefix, and how they are served.
struct Route
{
    std::string m_name;
    std::string m_host;
    std::string m_pathPrefix; // Begins and ends with a slash.
    RouteKind m_kind = RouteKind::NonIdempotent;
    bool m_isResumable = false; // A stream that may resume at another endpoint.
    bool m_isPublic = false;    // Needs no credential.
    Milliseconds m_timeout{30000};
    Milliseconds m_firstByteObjective{1000}; // Until the first byte.
    Milliseconds m_maxEventInterval{0};      // Between events of a stream; 0 if not declared.
    Milliseconds m_eventTimeout{
        0}; // Clients abandon a stream without an event for that long; 0: never.
    std::uint32_t m_priority = 0; // 0 is the most urgent.
    // Attempts per request, at different endpoints or the same one. Failed connects and requests
    // that reach the wrong endpoint don't count.
    std::uint32_t m_maxAttempts = 1;
    std::vector<WeightedService> m_services;

    // Returns whether a request may run more than once.
    bool isRepeatable() const
    {
        return m_kind == RouteKind::Idempotent || (m_kind == RouteKind::Stream && m_isResumable);
    }

    friend bool operator==(const Route &, const Route &) = default;
};

} // namespace burdockhead
