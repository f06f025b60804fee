#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/http/httprequest.h>
#include <burdockhead/observe/event.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace burdockhead {

// Which events of the time line to show; an empty filter shows all.
struct EventFilter
{
    std::optional<RequestId> m_request;
    WorkspaceName m_workspace;
    EndpointName m_endpoint;
    std::optional<EventType> m_type;
    std::uint64_t m_sinceMilliseconds = 0; // Wall clock, both ends included.
    std::uint64_t m_untilMilliseconds = std::numeric_limits<std::uint64_t>::max();

    bool matches(const Event &event) const;

    // The filter as a URL query, without the question mark.
    std::string toQuery() const;

    // Reads the query of a request; none, with a reason, when a value is bad.
    static std::optional<EventFilter> fromRequest(const HttpRequest &request, Failure &failure);

    friend bool operator==(const EventFilter &, const EventFilter &) = default;
};

} // namespace burdockhead
