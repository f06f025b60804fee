#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/http/httprequest.h>
#include <burdockhead/observe/event.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace burdockhead {

// Selects events of the timeline; an empty filter selects all.
struct EventFilter
{
    std::optional<RequestId> m_request;
    WorkspaceName m_workspace;
    EndpointName m_endpoint;
    std::optional<EventType> m_type;
    std::uint64_t m_sinceMilliseconds = 0; // Wall-clock time since 1970; both bounds are inclusive.
    std::uint64_t m_untilMilliseconds = std::numeric_limits<std::uint64_t>::max();

    bool matches(const Event &event) const;

    // Formats the filter as a URL query without the question mark.
    std::string toQuery() const;

    // Parses a request's query; on an invalid value sets the failure and returns no value.
    static std::optional<EventFilter> fromRequest(const HttpRequest &request, Failure &failure);

    friend bool operator==(const EventFilter &, const EventFilter &) = default;
};

} // namespace burdockhead
