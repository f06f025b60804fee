#include <burdockhead/observe/metricdescription.h>

#include <algorithm>

namespace burdockhead {

const std::vector<MetricDescription> &metricDescriptions()
{
    static const std::vector<MetricDescription> descriptions = {
        {"burdockhead_requests_total", "counter", "kind, outcome",
         "Requests that ended, by kind and by \"completed\" or the name of the error kind."},
        {"burdockhead_request_seconds", "summary", "kind",
         "Time from a request's arrival to its end."},
        {"burdockhead_first_chunk_seconds", "summary", "kind",
         "Time from a request's arrival to the first chunk of its answer."},
        {"burdockhead_requests_in_flight", "gauge", "", "Requests that have not ended."},
        {"burdockhead_refusals_total", "counter", "error",
         "Requests that this process refused, by error kind."},
        {"burdockhead_retries_total", "counter", "error",
         "Attempts made again at another replica, by the error kind of the failed attempt."},
        {"burdockhead_hedges_total", "counter", "", "Second attempts made while the first ran."},
        {"burdockhead_resumed_streams_total", "counter", "",
         "Streams that were resumed at another replica."},
        {"burdockhead_endpoint_limit", "gauge", "endpoint",
         "Requests that the endpoint may run at a time now."},
        {"burdockhead_endpoint_load", "gauge", "endpoint", "Requests that run at the endpoint."},
        {"burdockhead_endpoint_queue", "gauge", "endpoint",
         "Requests that wait at the endpoint's agent."},
        {"burdockhead_endpoint_cold", "gauge", "endpoint",
         "1 while the endpoint is in cold start."},
        {"burdockhead_step_skew_ratio", "gauge", "group",
         "The heaviest rank's tokens in a step over the mean of all ranks."},
        {"burdockhead_map_moves_total", "counter", "group",
         "Experts moved between ranks by new expert maps."},
        {"burdockhead_configuration_version", "gauge", "", "The version in force here."},
        {"burdockhead_configuration_age_seconds", "gauge", "",
         "Time since the version in force was last known to be the latest."},
        {"burdockhead_members", "gauge", "state", "Processes by membership state."},
        {"burdockhead_control_sent_bytes_total", "counter", "",
         "Bytes of control messages sent to other processes."},
        {"burdockhead_control_received_bytes_total", "counter", "",
         "Bytes of control messages received from other processes."},
        {"burdockhead_platform_calls_total", "counter", "operation, outcome",
         "Calls to the platform's object API; a waiting watch counts as one."},
        {"burdockhead_events_dropped_total", "counter", "",
         "Events that gave way in the process's ring."},
        {"process_cpu_seconds_total", "counter", "", "Processor time of the process."},
        {"process_resident_memory_bytes", "gauge", "", "Resident memory of the process."},
    };
    return descriptions;
}

const MetricDescription *findMetricDescription(std::string_view name)
{
    const auto &descriptions = metricDescriptions();
    const auto found = std::find_if(descriptions.begin(), descriptions.end(),
                                    [&](const auto &item) { return name == item.m_name; });
    return found == descriptions.end() ? nullptr : &*found;
}

} // namespace burdockhead
