#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace burdockhead {

// The closed list of what a process puts on the time line.
enum class EventType {
    ProcessStarted,
    ProcessReady,
    ProcessDraining,
    ProcessStopped,
    ConfigurationApplied,
    ConfigurationRefused,
    DataCentreTakenOut,
    DataCentreBroughtBack,
    PlatformLost,
    PlatformRegained,
    NotCurrent,
    CurrentAgain,
    MemberJoined,
    MemberSuspected,
    MemberLeaving,
    MemberDead,
    EndpointCold,
    EndpointWarm,
    EndpointLeaving,
    EndpointDrained,
    EndpointFailed,
    LimitChanged,
    RequestReceived,
    RequestRouted,
    RequestQueued,
    RequestAdmitted,
    RequestRefused,
    RequestRetried,
    RequestHedged,
    RequestResumed,
    RequestCancelled,
    RequestCompleted,
    RequestFailed,
    KeyBound,
    KeyAnswered,
    MapProposed,
    MapStaged,
    MapLive,
    MapAbandoned,
    OrderRefused,
};

constexpr std::size_t eventTypeCount = static_cast<std::size_t>(EventType::OrderRefused) + 1;

// The type as it stands on the time line, such as "request_routed".
const char *toString(EventType type);

// Reads a name that toString gives; none on any other text.
std::optional<EventType> eventTypeFromString(std::string_view name);

} // namespace burdockhead
