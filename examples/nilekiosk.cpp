#include <burdockhead/deployment.h>

#include <iostream>

using namespace burdockhead::declare;

// Prints the configuration of a deployment for a team that issues trading licences for kiosks.

namespace {

constexpr std::chrono::seconds modelDeadline{45};
constexpr std::chrono::seconds applicationDeadline{15};

void addKinds(Deployment &deployment)
{
    deployment.add(Kind{"clause-question", Repeatable::Yes, 2, 6, modelDeadline})
        .add(Kind{"inspection-summary", Repeatable::Yes, 2, 4, modelDeadline})
        .add(Kind{"licence-draft", Repeatable::Yes, 4, 5, modelDeadline})
        .add(Kind{"fee-payment", Repeatable::No, 10, 8, applicationDeadline})
        .add(Kind{"licence-grant", Repeatable::No, 10, 8, applicationDeadline});
}

void addWorkspaces(Deployment &deployment)
{
    for (const char *largeWorkspace : {"city-stars", "maadi-grand", "nasr-city"})
        deployment.add(Workspace{largeWorkspace, 10});
    for (const char *smallWorkspace :
         {"dokki", "giza", "heliopolis", "helwan", "mohandessin", "october", "zamalek"})
        deployment.add(Workspace{smallWorkspace, 2});
}

// Returns the settings common to the groups for long drafts, which check fencing numbers, and
// those for short answers at the counter, which do not.
ModelGroup modelGroup(const std::string &name, const std::string &model, std::uint32_t ranks)
{
    constexpr std::uint32_t expertsPerLayer = 32;
    constexpr std::uint32_t spareSlotsPerRank = 4;
    ModelGroup group;
    group.m_name = name;
    group.m_model = model;
    group.m_adapters = {"trading-law"};
    group.m_limits = {1, 12, 24};
    group.m_ranks = ranks;
    group.m_layers = 6;
    group.m_expertsPerLayer = expertsPerLayer;
    group.m_expertSlotsPerRank = expertsPerLayer / ranks + spareSlotsPerRank;
    return group;
}

void addDraftGroup(Deployment &deployment, const std::string &name, const std::string &dataCentre,
                   std::uint32_t ranks)
{
    ModelGroup group = modelGroup(name, "licence-moe-60b", ranks);
    group.m_kinds = {"inspection-summary", "licence-draft"};
    deployment.add(group).addRanks(name, dataCentre, ChecksFencing::Yes);
}

void addCounterGroup(Deployment &deployment, const std::string &name, const std::string &dataCentre)
{
    ModelGroup group = modelGroup(name, "counter-moe-20b", 2);
    group.m_kinds = {"clause-question"};
    deployment.add(group).addRanks(name, dataCentre, ChecksFencing::No);
}

void addModelGroups(Deployment &deployment)
{
    addDraftGroup(deployment, "drafts-a", "cairo-a", 4);
    addDraftGroup(deployment, "drafts-b", "cairo-b", 4);
    addDraftGroup(deployment, "drafts-c", "cairo-c", 2);
    addCounterGroup(deployment, "counter-a", "cairo-a");
    addCounterGroup(deployment, "counter-b", "cairo-b");
    addCounterGroup(deployment, "counter-c", "cairo-c");
}

void addApplication(Deployment &deployment)
{
    deployment.add(Service{"licences", {"fee-payment", "licence-grant"}, {2, 24, 48}});
    for (const char *dataCentre : {"cairo-a", "cairo-b", "cairo-c"})
        deployment.add(Endpoint{std::string("licences-") + dataCentre, "licences", dataCentre});
}

} // namespace

int main()
{
    Deployment deployment;
    for (const char *name : {"cairo-a", "cairo-b", "cairo-c"})
        deployment.add(DataCentre{name});
    addKinds(deployment);
    addWorkspaces(deployment);
    addModelGroups(deployment);
    addApplication(deployment);
    std::cout << deployment.print();
    return 0;
}
