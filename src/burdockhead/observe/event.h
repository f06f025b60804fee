#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/requestid.h>
#include <burdockhead/observe/eventtype.h>
#include <burdockhead/observe/hybridtime.h>

#include <optional>
#include <string>

namespace burdockhead {

// The request, workspace and endpoint of an event; members that don't apply are empty.
struct EventSubject
{
    std::optional<RequestId> m_request;
    WorkspaceName m_workspace;
    EndpointName m_endpoint;

    friend bool operator==(const EventSubject &, const EventSubject &) = default;
};

// A record on the timeline.
struct Event
{
    HybridTime m_time; // Unique among the events of a process.
    ProcessName m_process;
    EventType m_type = EventType::ProcessStarted;
    EventSubject m_subject;
    std::string m_reason; // The reason for the decision and the values that it is based on.

    friend bool operator==(const Event &, const Event &) = default;
};

} // namespace burdockhead
