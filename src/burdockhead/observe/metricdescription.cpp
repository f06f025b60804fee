#include <burdockhead/observe/metricdescription.h>

#include <algorithm>

namespace burdockhead {

const std::vector<MetricDescription> &metricDescriptions()
{
    static const std::vector<MetricDescription> descriptions = {
        {"burdockhead_requests_received_total", "counter", "kind",
         "Requests that the entry has taken."},
        {"burdockhead_requests_total", "counter", "kind, outcome",
         "Requests that ended, by kind and by \"completed\" or the name of the error kind."},
        {"burdockhead_request_duration_seconds", "summary", "kind",
         "Time from a completed request's arrival at the entry to its end."},
        {"burdockhead_first_data_duration_seconds", "summary", "kind",
         "Time from a request's arrival at the entry to the first data of its answer."},
        {"burdockhead_open_requests", "gauge", "", "Requests at the entry that have not ended."},
        {"burdockhead_attempts_total", "counter", "kind",
         "Attempts sent to agents; more than requests by retries and hedges."},
        {"burdockhead_attempts_ended_total", "counter", "endpoint, outcome",
         "Attempts that ended, by endpoint and by how."},
        {"burdockhead_endpoint_estimated_load_requests", "gauge", "endpoint",
         "Requests that the entry takes to be at the endpoint."},
        {"burdockhead_endpoint_breaker_open", "gauge", "endpoint",
         "1 while the entry's circuit breaker keeps requests away from the endpoint."},
        {"burdockhead_open_links", "gauge", "", "Connections from the entry to agents."},
        {"burdockhead_claim_writes_total", "counter", "",
         "Writes of claims for idempotency keys to the platform."},
        {"burdockhead_endpoint_running_requests", "gauge", "",
         "Requests that run at the agent's endpoint."},
        {"burdockhead_endpoint_queued_requests", "gauge", "", "Requests that wait at the agent."},
        {"burdockhead_endpoint_limit_requests", "gauge", "",
         "Requests that the endpoint may run at a time now."},
        {"burdockhead_endpoint_cold", "gauge", "",
         "1 while the agent takes its endpoint to be in cold start."},
        {"burdockhead_agent_dispatches_total", "counter", "", "Attempts that reached the agent."},
        {"burdockhead_agent_started_total", "counter", "",
         "Requests that the agent has handed to its endpoint."},
        {"burdockhead_agent_completed_total", "counter", "",
         "Requests that the endpoint has completed."},
        {"burdockhead_agent_refused_total", "counter", "",
         "Attempts that the agent refused as not run."},
        {"burdockhead_agent_failed_total", "counter", "", "Requests that failed at the endpoint."},
        {"burdockhead_agent_cancelled_total", "counter", "", "Requests that were cancelled."},
        {"burdockhead_agent_replayed_total", "counter", "",
         "Attempts with a used key that got the first answer again."},
        {"burdockhead_agent_cold_signs_total", "counter", "",
         "Signs that the endpoint has turned cold."},
        {"burdockhead_configuration_version", "gauge", "",
         "The configuration's version in force in this process; 0 for none."},
        {"burdockhead_members_entries", "gauge", "", "Entries that the process knows."},
        {"burdockhead_members_agents", "gauge", "", "Agents that the process knows."},
        {"burdockhead_control_sent_bytes_total", "counter", "",
         "Bytes of control messages sent to other processes."},
        {"burdockhead_control_received_bytes_total", "counter", "",
         "Bytes of control messages received from other processes."},
        {"burdockhead_platform_calls_total", "counter", "",
         "Calls to the platform's object API; a waiting watch counts as one."},
        {"process_cpu_seconds_total", "counter", "", "Processor time of the process."},
        {"process_resident_memory_bytes", "gauge", "", "Resident memory of the process."},
        {"burdockhead_gateway_requests_total", "counter", "outcome",
         "Requests of a gateway that ended, by \"served\", \"refused\", \"cancelled\", "
         "\"endpoint_failed\" or the name of the error kind."},
        {"burdockhead_gateway_request_duration_seconds", "summary", "",
         "Time from a request's arrival at the gateway to its end."},
        {"burdockhead_gateway_client_connections", "gauge", "",
         "Connections that clients have open, on all ports."},
        {"burdockhead_gateway_client_request_bytes", "gauge", "",
         "Memory of the requests that clients have sent, and of their connections."},
        {"burdockhead_gateway_clients_given_up", "gauge", "",
         "Connections that were given up or not taken for want of room since the start."},
        {"burdockhead_gateway_open_requests", "gauge", "",
         "Requests at the gateway that have not ended."},
        {"burdockhead_gateway_endpoint_connections", "gauge", "",
         "Connections that the gateway has made to endpoints since its start."},
        {"burdockhead_gateway_store_calls_total", "counter", "call, collection",
         "Calls to the platform's store, by \"list\" or \"watch\" and by collection."},
        {"burdockhead_gateway_unusable_objects_total", "counter", "event",
         "Objects of the store that can't be used, each time that one was read, by log event."},
        {"burdockhead_gateway_store_eras_total", "counter", "collection",
         "Times that the store came back from an older copy, as the gateway has noticed."},
        {"burdockhead_gateway_lines_dropped", "gauge", "",
         "Log lines that were left out since the start, over their budget or for want of a "
         "reader."},
        {"burdockhead_gateway_quarantined_parts", "gauge", "",
         "Prompt parts and requests that the gateway holds in quarantine."},
        {"burdockhead_gateway_stray_responses_total", "counter", "",
         "Responses of endpoints to another request than the one in progress."},
        {"burdockhead_gateway_quarantine_refusals_total", "counter", "",
         "Requests that were refused because they, or a part of their prompt, are in quarantine."},
        {"burdockhead_gateway_endpoint_rate", "gauge", "endpoint",
         "Requests per second that the endpoint takes from all gateways together; 0 if it names no "
         "limit any more."},
        {"burdockhead_gateway_endpoint_rate_share", "gauge", "endpoint",
         "This gateway's part of that rate."},
        {"burdockhead_gateway_endpoint_rate_requests", "gauge", "endpoint",
         "Requests sent to the endpoint while it named a rate."},
        {"burdockhead_gateway_endpoint_rate_passed_over", "gauge", "endpoint",
         "Times that the endpoint was left out of a choice because the part was used."},
        {"burdockhead_map_changes_total", "counter", "",
         "Expert maps that the agent beside rank 0 has brought into use."},
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
