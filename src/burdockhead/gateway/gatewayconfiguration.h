#pragma once

#include <burdockhead/gateway/route.h>
#include <burdockhead/net/httplistener.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burdockhead {

// Expert layers of an engine's model, and the capacity of its ranks.
struct ExpertShape
{
    std::uint32_t m_layers = 0;
    std::uint32_t m_experts = 0;            // Of each layer.
    std::uint32_t m_expertSlotsPerRank = 0; // Experts of a layer that a rank can hold.
    std::uint32_t m_maxLoadsPerChange =
        0;                         // Experts of a layer that a rank can load per map change.
    double m_loadMilliseconds = 0; // Time for a rank to load one expert.

    friend bool operator==(const ExpertShape &, const ExpertShape &) = default;
};

// A service that routes refer to.
struct GatewayService
{
    GroupName m_name;
    std::string m_healthPath;
    std::uint32_t m_maxConnections = 0; // To each endpoint, from all gateways together.
    double m_coldRequestsPerSecond = 0; // Rate that a cold endpoint sustains; 0 for no limit.
    std::uint32_t m_batchSize =
        0; // Requests that an engine runs concurrently; 0 if it's no engine.
    std::optional<ExpertShape> m_experts; // Set if the experts are distributed among ranks.

    friend bool operator==(const GatewayService &, const GatewayService &) = default;
};

// A workspace with the credentials of its clients.
struct GatewayWorkspace
{
    WorkspaceName m_name;
    std::vector<std::string> m_credentials;
    std::optional<std::uint32_t> m_priority; // Overrides the priority of the route.

    friend bool operator==(const GatewayWorkspace &, const GatewayWorkspace &) = default;
};

// One version of the gateway configuration. Immutable once it is shared.
class GatewayConfiguration
{
public:
    GatewayConfiguration(std::uint64_t version, std::vector<Route> routes,
                         std::vector<GatewayService> services,
                         std::vector<GatewayWorkspace> workspaces, HttpServerLimits limits);

    std::uint64_t version() const { return m_version; }
    const HttpServerLimits &limits() const { return m_limits; }
    const std::vector<Route> &routes() const { return m_routes; }
    const std::vector<GatewayService> &services() const { return m_services; }
    const std::vector<GatewayWorkspace> &workspaces() const { return m_workspaces; }

    // Returns the route of the host with the longest matching path prefix, or null.
    const Route *findRoute(std::string_view host, std::string_view path) const;

    // Returns the service of that name, or null.
    const GatewayService *findService(const GroupName &name) const;

    // Returns the workspace that holds the credential, or null.
    const GatewayWorkspace *findWorkspace(const std::string &credential) const;

    // Returns whether requests need credentials at all.
    bool needsCredentials() const { return !m_workspaces.empty(); }

    friend bool operator==(const GatewayConfiguration &left, const GatewayConfiguration &right)
    {
        return left.m_version == right.m_version && left.m_routes == right.m_routes
               && left.m_services == right.m_services && left.m_workspaces == right.m_workspaces
               && left.m_limits == right.m_limits;
    }

private:
    using RoutesByPrefix = std::unordered_map<std::string, std::size_t>;

    std::uint64_t m_version;
    std::vector<Route> m_routes;
    std::vector<GatewayService> m_services;
    std::vector<GatewayWorkspace> m_workspaces;
    HttpServerLimits m_limits;
    std::unordered_map<std::string, RoutesByPrefix> m_routesByHost;
    std::unordered_map<std::string, std::size_t> m_workspaceByCredential;
};

using GatewayConfigurationPointer = std::shared_ptr<const GatewayConfiguration>;

} // namespace burdockhead
