#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/gateway/gatewaybounds.h>
#include <burdockhead/observe/loglevel.h>
#include <burdockhead/settings/weburl.h>

#include <cstddef>
#include <vector>

namespace burdockhead {

// What bounds a process.
struct ProcessLimits
{
    std::size_t m_maxBodyBytes = 1 << 20;
    std::size_t m_maxHeaderCount = 64;
    std::size_t m_maxConnections = 1000;
    std::size_t m_maxWaitingRequests = 1000;
    Milliseconds m_addressLifetime{5000}; // How long an answer about addresses holds.
    Milliseconds m_drainTimeout{600000};  // How long a stop waits for requests in flight.

    friend bool operator==(const ProcessLimits &, const ProcessLimits &) = default;
};

// What entries and agents have in common.
struct ProcessSettings
{
    ProcessName m_name;
    DataCentreName m_dataCentre;
    LogLevel m_logLevel = LogLevel::Info;
    SocketAddress m_operators; // Health, readiness, metrics, time line, configuration.
    SocketAddress m_control;   // Messages between the system's processes.
    WebUrl m_platform;
    std::vector<SocketAddress> m_seeds; // Control addresses to join by without the platform.
    ProcessLimits m_limits;

    friend bool operator==(const ProcessSettings &, const ProcessSettings &) = default;
};

// What an entry reads from its settings file.
struct EntrySettings : ProcessSettings
{
    SocketAddress m_callers;

    friend bool operator==(const EntrySettings &, const EntrySettings &) = default;
};

// What an agent reads from its settings file.
struct AgentSettings : ProcessSettings
{
    SocketAddress m_link; // Requests from entries.
    EndpointName m_endpoint;
    WebUrl m_endpointUrl;
    std::string m_probePath = "/health";
    std::string m_bootIdHeader = "X-Boot-Id"; // A changed value means that it restarted.

    friend bool operator==(const AgentSettings &, const AgentSettings &) = default;
};

// What a gateway reads from its settings file.
struct GatewaySettings
{
    ProcessName m_name;
    DataCentreName m_dataCentre;
    LogLevel m_logLevel = LogLevel::Info;
    SocketAddress m_clients;
    SocketAddress m_readiness;
    SocketAddress m_directory;
    SocketAddress m_peers; // Datagrams of other gateways.
    SocketAddress m_metrics;
    SocketAddress m_store;
    std::vector<SocketAddress> m_seeds; // Gateways to join by.
    GatewayBounds m_bounds;

    friend bool operator==(const GatewaySettings &, const GatewaySettings &) = default;
};

// What the agent of a rank reads from its settings file.
struct RankAgentSettings
{
    ProcessName m_name;
    DataCentreName m_dataCentre;
    LogLevel m_logLevel = LogLevel::Info;
    SocketAddress m_agents;   // Other agents, and metrics.
    SocketAddress m_endpoint; // The rank on this machine.
    GroupName m_service;
    SocketAddress m_store;
    std::vector<SocketAddress> m_gateways; // Some that pass orders on.

    friend bool operator==(const RankAgentSettings &, const RankAgentSettings &) = default;
};

} // namespace burdockhead
