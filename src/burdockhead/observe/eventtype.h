#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace burdockhead {

// The types of events on the timeline; a closed set.
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

// Returns the name of the type on the timeline, such as "request_routed".
const char *toString(EventType type);

// Parses a name returned by toString(); returns no value on any other text.
std::optional<EventType> eventTypeFromString(std::string_view name);

} // namespace burdockhead
