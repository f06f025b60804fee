#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/gateway/gatewaybounds.h>
#include <burdockhead/observe/loglevel.h>
#include <burdockhead/process/resourcelimits.h>
#include <burdockhead/settings/weburl.h>

#include <cstddef>
#include <vector>

namespace burdockhead {

// Resource limits of a process.
struct ProcessLimits
{
    std::size_t m_maxBodyBytes = 1 << 20;
    std::size_t m_maxHeaderCount = 64;
    std::size_t m_maxConnections = 1000;
    std::size_t m_maxWaitingRequests = 1000;
    Milliseconds m_addressLifetime{5000}; // How long clients may cache a response with addresses.
    Milliseconds m_drainTimeout{600000};  // How long a shutdown waits for requests in flight.

    friend bool operator==(const ProcessLimits &, const ProcessLimits &) = default;
};

// Settings shared by entries and agents.
struct ProcessSettings
{
    ProcessName m_name;
    DataCentreName m_dataCentre;
    LogLevel m_logLevel = LogLevel::Info;
    SocketAddress m_operators; // Health, readiness, metrics, timeline, configuration.
    SocketAddress m_control;   // Control messages between processes.
    WebUrl m_platform;
    std::vector<SocketAddress> m_seeds; // Control addresses to join without the platform.
    ProcessLimits m_limits;
    ResourceLimits m_resources;

    friend bool operator==(const ProcessSettings &, const ProcessSettings &) = default;
};

// The settings of an entry.
struct EntrySettings : ProcessSettings
{
    SocketAddress m_callers;

    friend bool operator==(const EntrySettings &, const EntrySettings &) = default;
};

// The settings of an agent.
struct AgentSettings : ProcessSettings
{
    SocketAddress m_link; // Requests from entries.
    EndpointName m_endpoint;
    WebUrl m_endpointUrl;
    std::string m_probePath = "/health";
    std::string m_bootIdHeader = "X-Boot-Id"; // A changed value means that the endpoint restarted.

    friend bool operator==(const AgentSettings &, const AgentSettings &) = default;
};

// The settings of a gateway.
struct GatewaySettings
{
    ProcessName m_name;
    DataCentreName m_dataCentre;
    LogLevel m_logLevel = LogLevel::Info;
    SocketAddress m_clients;
    SocketAddress m_readiness;
    SocketAddress m_directory;
    SocketAddress m_peers; // Datagrams from other gateways.
    SocketAddress m_metrics;
    SocketAddress m_store;
    std::vector<SocketAddress> m_seeds; // Peer addresses contacted for joining.
    bool m_isFirstStart = false;        // All gateways start for the first time.
    GatewayBounds m_bounds;
    ResourceLimits m_resources;

    friend bool operator==(const GatewaySettings &, const GatewaySettings &) = default;
};

// The settings of a rank's agent.
struct RankAgentSettings
{
    ProcessName m_name;
    DataCentreName m_dataCentre;
    LogLevel m_logLevel = LogLevel::Info;
    SocketAddress m_agents;   // Requests from other agents, and metrics.
    SocketAddress m_endpoint; // The rank on this VM.
    GroupName m_service;
    SocketAddress m_store;
    std::vector<SocketAddress> m_gateways; // Peer addresses of gateways that relay orders.
    ResourceLimits m_resources = {128, 0};

    friend bool operator==(const RankAgentSettings &, const RankAgentSettings &) = default;
};

} // namespace burdockhead
