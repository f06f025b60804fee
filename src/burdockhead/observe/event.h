#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/requestid.h>
#include <burdockhead/observe/eventtype.h>
#include <burdockhead/observe/hybridtime.h>

#include <optional>
#include <string>

namespace burdockhead {

// What an event is about; parts that don't apply stay empty.
struct EventSubject
{
    std::optional<RequestId> m_request;
    WorkspaceName m_workspace;
    EndpointName m_endpoint;

    friend bool operator==(const EventSubject &, const EventSubject &) = default;
};

// One entry of the time line.
struct Event
{
    HybridTime m_time; // No two events of a process have the same.
    ProcessName m_process;
    EventType m_type = EventType::ProcessStarted;
    EventSubject m_subject;
    std::string m_reason; // Why it was decided, and what numbers it was decided from.

    friend bool operator==(const Event &, const Event &) = default;
};

} // namespace burdockhead
