#include <burdockhead/deployment.h>
#include <burdockhead/operators/library/declarationcheck.h>
#include <burdockhead/operators/library/deploymentprinter.h>

#include <algorithm>

namespace burdockhead::declare {

namespace {

constexpr std::uint64_t maxWeight = 1000000;
constexpr std::uint64_t maxPriority = 9;
constexpr std::uint64_t maxDeadlineMilliseconds = 24ULL * 60 * 60 * 1000;
constexpr std::uint64_t maxRanks = 1024;
constexpr std::uint64_t maxLayers = 1024;
constexpr std::uint64_t maxExperts = 4096;
constexpr const char *declaredBefore = "a name declared before";

template <typename Item>
void insertUnique(std::map<std::string, Item> &items, const std::string &declaration,
                  const Item &item)
{
    if (!items.emplace(item.m_name, item).second)
        throwDeclarationError(declaration, "it is declared twice", "once");
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

void requireGroupSize(const std::string &declaration, const ModelGroup &group)
{
    requireRange(declaration, "number of ranks", group.m_ranks, 1, maxRanks);
    requireRange(declaration, "number of layers", group.m_layers, 1, maxLayers);
    requireRange(declaration, "number of experts per layer", group.m_expertsPerLayer, 1,
                 maxExperts);
    const std::uint64_t requiredSlots =
        (group.m_expertsPerLayer + group.m_ranks - 1) / group.m_ranks;
    requireRange(declaration, "number of expert slots per rank", group.m_expertSlotsPerRank,
                 requiredSlots, maxExperts);
}

} // namespace

Deployment &Deployment::add(const DataCentre &dataCentre)
{
    const std::string declaration = "data centre " + dataCentre.m_name;
    requireName(declaration, dataCentre.m_name);
    insertUnique(m_dataCentres, declaration, dataCentre);
    return *this;
}

Deployment &Deployment::add(const Kind &kind)
{
    const std::string declaration = "kind " + kind.m_name;
    requireName(declaration, kind.m_name);
    requireRange(declaration, "weight", kind.m_weight, 1, maxWeight);
    requireRange(declaration, "priority", kind.m_priority, 0, maxPriority);
    if (kind.m_deadline.count() < 1)
        throwDeclarationError(declaration, "the deadline is too short", "a millisecond or more");
    requireRange(declaration, "deadline in milliseconds",
                 static_cast<std::uint64_t>(kind.m_deadline.count()), 1, maxDeadlineMilliseconds);
    insertUnique(m_kinds, declaration, kind);
    return *this;
}

Deployment &Deployment::add(const Workspace &workspace)
{
    const std::string declaration = "workspace " + workspace.m_name;
    requireName(declaration, workspace.m_name);
    requireRange(declaration, "share", workspace.m_share, 1, maxWeight);
    insertUnique(m_workspaces, declaration, workspace);
    return *this;
}

Deployment &Deployment::add(const ModelGroup &group)
{
    const std::string declaration = "model group " + group.m_name;
    requireName(declaration, group.m_name);
    requireName(declaration + ", model", group.m_model);
    requireNames(declaration + ", adapters", group.m_adapters);
    requireKinds(declaration, group.m_kinds);
    requireLimits(declaration, group.m_limits);
    requireGroupSize(declaration, group);
    if (m_services.contains(group.m_name))
        throwDeclarationError(declaration, "a service has this name", "each name once");
    insertUnique(m_modelGroups, declaration, group);
    return *this;
}

Deployment &Deployment::add(const Service &service)
{
    const std::string declaration = "service " + service.m_name;
    requireName(declaration, service.m_name);
    requireKinds(declaration, service.m_kinds);
    requireLimits(declaration, service.m_limits);
    if (m_modelGroups.contains(service.m_name))
        throwDeclarationError(declaration, "a model group has this name", "each name once");
    insertUnique(m_services, declaration, service);
    return *this;
}

Deployment &Deployment::add(const Endpoint &endpoint)
{
    const std::string declaration = "endpoint " + endpoint.m_name;
    requireName(declaration, endpoint.m_name);
    if (!isGroup(endpoint.m_group))
        throwDeclarationError(declaration,
                              "no model group or service is named '" + endpoint.m_group + "'",
                              declaredBefore);
    if (!m_dataCentres.contains(endpoint.m_dataCentre))
        throwDeclarationError(
            declaration, "no data centre is named '" + endpoint.m_dataCentre + "'", declaredBefore);
    if (m_endpoints.contains(endpoint.m_name))
        throwDeclarationError(declaration, "it is declared twice", "once");
    const ModelGroup *group = findModelGroup(endpoint.m_group);
    requireRange(declaration, "rank", endpoint.m_rank, 0,
                 group == nullptr ? 0 : group->m_ranks - 1);
    if (group != nullptr) {
        const auto [existing, isInserted] = m_endpointOfRank.emplace(
            std::make_pair(endpoint.m_group, endpoint.m_rank), endpoint.m_name);
        if (!isInserted)
            throwDeclarationError(declaration,
                                  "rank " + std::to_string(endpoint.m_rank) + " is taken by "
                                      + existing->second,
                                  "each rank of a group once");
    }
    insertUnique(m_endpoints, declaration, endpoint);
    return *this;
}

Deployment &Deployment::addRanks(const std::string &group, const std::string &dataCentre,
                                 ChecksFencing checksFencing)
{
    const ModelGroup *declaredGroup = findModelGroup(group);
    if (declaredGroup == nullptr)
        throwDeclarationError("ranks", "no model group is named '" + group + "'", declaredBefore);
    for (std::uint32_t rank = 0; rank < declaredGroup->m_ranks; ++rank)
        add(Endpoint{group + "-" + std::to_string(rank), group, dataCentre, rank, checksFencing,
                     false});
    return *this;
}

std::string Deployment::print() const
{
    for (const auto &[name, kind] : m_kinds)
        requireServingEndpoint(name);
    DeploymentPrinter printer;
    for (const auto &[name, dataCentre] : m_dataCentres)
        printer.print(dataCentre);
    for (const auto &[name, kind] : m_kinds)
        printer.print(kind);
    for (const auto &[name, workspace] : m_workspaces)
        printer.print(workspace);
    std::map<std::string, const ModelGroup *> groups; // A null pointer denotes a service.
    for (const auto &[name, group] : m_modelGroups)
        groups.emplace(name, &group);
    for (const auto &[name, service] : m_services)
        groups.emplace(name, nullptr);
    for (const auto &[name, group] : groups) {
        if (group != nullptr)
            printer.print(*group);
        else
            printer.print(m_services.at(name));
    }
    for (const auto &[name, endpoint] : m_endpoints)
        printer.print(endpoint);
    return printer.text();
}

const ModelGroup *Deployment::findModelGroup(const std::string &name) const
{
    const auto found = m_modelGroups.find(name);
    return found == m_modelGroups.end() ? nullptr : &found->second;
}

bool Deployment::isGroup(const std::string &name) const
{
    return m_modelGroups.contains(name) || m_services.contains(name);
}

void Deployment::requireKinds(const std::string &declaration,
                              const std::vector<std::string> &kinds) const
{
    requireNames(declaration + ", kinds", kinds);
    if (kinds.empty())
        throwDeclarationError(declaration, "it answers no kind", "at least one");
    for (const std::string &kind : kinds) {
        if (!m_kinds.contains(kind))
            throwDeclarationError(declaration, "no kind is named '" + kind + "'", declaredBefore);
    }
}

void Deployment::requireServingEndpoint(const std::string &kind) const
{
    const bool isServed =
        std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto &item) {
            const std::string &group = item.second.m_group;
            const ModelGroup *model = findModelGroup(group);
            const auto &kinds = model != nullptr ? model->m_kinds : m_services.at(group).m_kinds;
            return contains(kinds, kind);
        });
    if (!isServed)
        throwDeclarationError("kind " + kind, "no capacity",
                              "a kind that a model group or service with an endpoint answers");
}

} // namespace burdockhead::declare
