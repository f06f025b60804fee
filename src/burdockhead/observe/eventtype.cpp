#include <burdockhead/observe/eventtype.h>

#include <array>

namespace burdockhead {

namespace {

struct EventTypeName
{
    EventType m_type;
    const char *m_name;
};

constexpr std::array<EventTypeName, eventTypeCount> eventTypeNames = {{
    {EventType::ProcessStarted, "process_started"},
    {EventType::ProcessReady, "process_ready"},
    {EventType::ProcessDraining, "process_draining"},
    {EventType::ProcessStopped, "process_stopped"},
    {EventType::ConfigurationApplied, "configuration_applied"},
    {EventType::ConfigurationRefused, "configuration_refused"},
    {EventType::DataCentreTakenOut, "data_centre_taken_out"},
    {EventType::DataCentreBroughtBack, "data_centre_brought_back"},
    {EventType::PlatformLost, "platform_lost"},
    {EventType::PlatformRegained, "platform_regained"},
    {EventType::NotCurrent, "not_current"},
    {EventType::CurrentAgain, "current_again"},
    {EventType::MemberJoined, "member_joined"},
    {EventType::MemberSuspected, "member_suspected"},
    {EventType::MemberLeaving, "member_leaving"},
    {EventType::MemberDead, "member_dead"},
    {EventType::EndpointCold, "endpoint_cold"},
    {EventType::EndpointWarm, "endpoint_warm"},
    {EventType::EndpointLeaving, "endpoint_leaving"},
    {EventType::EndpointDrained, "endpoint_drained"},
    {EventType::EndpointFailed, "endpoint_failed"},
    {EventType::LimitChanged, "limit_changed"},
    {EventType::RequestReceived, "request_received"},
    {EventType::RequestRouted, "request_routed"},
    {EventType::RequestQueued, "request_queued"},
    {EventType::RequestAdmitted, "request_admitted"},
    {EventType::RequestRefused, "request_refused"},
    {EventType::RequestRetried, "request_retried"},
    {EventType::RequestHedged, "request_hedged"},
    {EventType::RequestResumed, "request_resumed"},
    {EventType::RequestCancelled, "request_cancelled"},
    {EventType::RequestCompleted, "request_completed"},
    {EventType::RequestFailed, "request_failed"},
    {EventType::KeyBound, "key_bound"},
    {EventType::KeyAnswered, "key_answered"},
    {EventType::MapProposed, "map_proposed"},
    {EventType::MapStaged, "map_staged"},
    {EventType::MapLive, "map_live"},
    {EventType::MapAbandoned, "map_abandoned"},
    {EventType::OrderRefused, "order_refused"},
}};

constexpr bool isTableInEnumOrder()
{
    for (std::size_t index = 0; index < eventTypeNames.size(); ++index) {
        if (static_cast<std::size_t>(eventTypeNames[index].m_type) != index)
            return false;
    }
    return true;
}

static_assert(isTableInEnumOrder());

} // namespace

const char *toString(EventType type)
{
    return eventTypeNames.at(static_cast<std::size_t>(type)).m_name;
}

std::optional<EventType> eventTypeFromString(std::string_view name)
{
    for (const EventTypeName &typeName : eventTypeNames) {
        if (name == typeName.m_name)
            return typeName.m_type;
    }
    return std::nullopt;
}

} // namespace burdockhead
