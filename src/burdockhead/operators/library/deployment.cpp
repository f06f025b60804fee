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
void insert(std::map<std::string, Item> &items, const std::string &place, const Item &item)
{
    if (!items.emplace(item.m_name, item).second)
        refuse(place, "it is declared twice", "once");
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

void requireSizes(const std::string &place, const ModelGroup &group)
{
    requireRange(place, "number of ranks", group.m_ranks, 1, maxRanks);
    requireRange(place, "number of layers", group.m_layers, 1, maxLayers);
    requireRange(place, "number of experts per layer", group.m_expertsPerLayer, 1, maxExperts);
    const std::uint64_t needed = (group.m_expertsPerLayer + group.m_ranks - 1) / group.m_ranks;
    requireRange(place, "number of expert slots per rank", group.m_expertSlotsPerRank, needed,
                 maxExperts);
}

} // namespace

Deployment &Deployment::add(const DataCentre &dataCentre)
{
    const std::string place = "data centre " + dataCentre.m_name;
    requireName(place, dataCentre.m_name);
    insert(m_dataCentres, place, dataCentre);
    return *this;
}

Deployment &Deployment::add(const Kind &kind)
{
    const std::string place = "kind " + kind.m_name;
    requireName(place, kind.m_name);
    requireRange(place, "weight", kind.m_weight, 1, maxWeight);
    requireRange(place, "priority", kind.m_priority, 0, maxPriority);
    if (kind.m_deadline.count() < 1)
        refuse(place, "the deadline is too short", "a millisecond or more");
    requireRange(place, "deadline in milliseconds",
                 static_cast<std::uint64_t>(kind.m_deadline.count()), 1, maxDeadlineMilliseconds);
    insert(m_kinds, place, kind);
    return *this;
}

Deployment &Deployment::add(const Workspace &workspace)
{
    const std::string place = "workspace " + workspace.m_name;
    requireName(place, workspace.m_name);
    requireRange(place, "share", workspace.m_share, 1, maxWeight);
    insert(m_workspaces, place, workspace);
    return *this;
}

Deployment &Deployment::add(const ModelGroup &group)
{
    const std::string place = "model group " + group.m_name;
    requireName(place, group.m_name);
    requireName(place + ", model", group.m_model);
    requireNames(place + ", adapters", group.m_adapters);
    requireKinds(place, group.m_kinds);
    requireLimits(place, group.m_limits);
    requireSizes(place, group);
    if (m_services.contains(group.m_name))
        refuse(place, "a service has this name", "each name once");
    insert(m_modelGroups, place, group);
    return *this;
}

Deployment &Deployment::add(const Service &service)
{
    const std::string place = "service " + service.m_name;
    requireName(place, service.m_name);
    requireKinds(place, service.m_kinds);
    requireLimits(place, service.m_limits);
    if (m_modelGroups.contains(service.m_name))
        refuse(place, "a model group has this name", "each name once");
    insert(m_services, place, service);
    return *this;
}

Deployment &Deployment::add(const Endpoint &endpoint)
{
    const std::string place = "endpoint " + endpoint.m_name;
    requireName(place, endpoint.m_name);
    if (!isGroup(endpoint.m_group))
        refuse(place, "no model group or service is named '" + endpoint.m_group + "'",
               declaredBefore);
    if (!m_dataCentres.contains(endpoint.m_dataCentre))
        refuse(place, "no data centre is named '" + endpoint.m_dataCentre + "'", declaredBefore);
    if (m_endpoints.contains(endpoint.m_name))
        refuse(place, "it is declared twice", "once");
    const ModelGroup *group = modelGroup(endpoint.m_group);
    requireRange(place, "rank", endpoint.m_rank, 0, group == nullptr ? 0 : group->m_ranks - 1);
    if (group != nullptr) {
        const auto [taken, isNew] =
            m_ranks.emplace(std::make_pair(endpoint.m_group, endpoint.m_rank), endpoint.m_name);
        if (!isNew)
            refuse(place,
                   "rank " + std::to_string(endpoint.m_rank) + " is taken by " + taken->second,
                   "each rank of a group once");
    }
    insert(m_endpoints, place, endpoint);
    return *this;
}

Deployment &Deployment::addRanks(const std::string &group, const std::string &dataCentre,
                                 ChecksFencing checksFencing)
{
    const ModelGroup *declared = modelGroup(group);
    if (declared == nullptr)
        refuse("ranks", "no model group is named '" + group + "'", declaredBefore);
    for (std::uint32_t rank = 0; rank < declared->m_ranks; ++rank)
        add(Endpoint{group + "-" + std::to_string(rank), group, dataCentre, rank, checksFencing,
                     false});
    return *this;
}

std::string Deployment::print() const
{
    for (const auto &[name, kind] : m_kinds)
        requireCapacity(name);
    DeploymentPrinter printer;
    for (const auto &[name, dataCentre] : m_dataCentres)
        printer.print(dataCentre);
    for (const auto &[name, kind] : m_kinds)
        printer.print(kind);
    for (const auto &[name, workspace] : m_workspaces)
        printer.print(workspace);
    std::map<std::string, const ModelGroup *> groups; // A null pointer stands for a service.
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

const ModelGroup *Deployment::modelGroup(const std::string &name) const
{
    const auto found = m_modelGroups.find(name);
    return found == m_modelGroups.end() ? nullptr : &found->second;
}

bool Deployment::isGroup(const std::string &name) const
{
    return m_modelGroups.contains(name) || m_services.contains(name);
}

void Deployment::requireKinds(const std::string &place, const std::vector<std::string> &kinds) const
{
    requireNames(place + ", kinds", kinds);
    if (kinds.empty())
        refuse(place, "it answers no kind", "at least one");
    for (const std::string &kind : kinds) {
        if (!m_kinds.contains(kind))
            refuse(place, "no kind is named '" + kind + "'", declaredBefore);
    }
}

void Deployment::requireCapacity(const std::string &kind) const
{
    const bool isServed =
        std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto &item) {
            const std::string &group = item.second.m_group;
            const ModelGroup *model = modelGroup(group);
            const auto &kinds = model != nullptr ? model->m_kinds : m_services.at(group).m_kinds;
            return contains(kinds, kind);
        });
    if (!isServed)
        refuse("kind " + kind, "no capacity",
               "a kind that a model group or service with an endpoint answers");
}

} // namespace burdockhead::declare
