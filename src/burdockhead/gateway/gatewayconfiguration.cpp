#include <burdockhead/gateway/gatewayconfiguration.h>

#include <algorithm>
#include <cctype>

namespace burdockhead {

namespace {

// Returns the host without its port, in lower case.
std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return key;
}

} // namespace

GatewayConfiguration::GatewayConfiguration(std::uint64_t version, std::vector<Route> routes,
                                           std::vector<GatewayService> services,
                                           std::vector<GatewayWorkspace> workspaces,
                                           HttpServerLimits limits)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_workspaces(std::move(workspaces))
    , m_limits(limits)
{
    for (std::size_t index = 0; index < m_routes.size(); ++index)
        m_routesByHost[hostKey(m_routes[index].m_host)].emplace(m_routes[index].m_pathPrefix,
                                                                index);
    for (std::size_t index = 0; index < m_workspaces.size(); ++index) {
        for (const std::string &credential : m_workspaces[index].m_credentials)
            m_workspaceByCredential.emplace(credential, index);
    }
}

const Route *GatewayConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(hostKey(host));
    if (routes == m_routesByHost.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end())
            return &m_routes[found->second];
    }
    return nullptr;
}

const GatewayService *GatewayConfiguration::findService(const GroupName &name) const
{
    const auto found =
        std::find_if(m_services.begin(), m_services.end(),
                     [&](const GatewayService &service) { return service.m_name == name; });
    return found == m_services.end() ? nullptr : &*found;
}

const GatewayWorkspace *GatewayConfiguration::findWorkspace(const std::string &credential) const
{
    const auto found = m_workspaceByCredential.find(credential);
    return found == m_workspaceByCredential.end() ? nullptr : &m_workspaces[found->second];
}

} // namespace burdockhead
