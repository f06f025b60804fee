#include <burdockhead/deployment.h>

#include <iostream>

using namespace burdockhead::declare;

// Prints the configuration of a deployment for a team that turns library loan records into
// reports.

namespace {

constexpr std::chrono::seconds modelDeadline{60};
constexpr std::chrono::seconds applicationDeadline{10};

void addKinds(Deployment &deployment)
{
    deployment.add(Kind{"branch-digest", Repeatable::Yes, 3, 5, modelDeadline})
        .add(Kind{"overdue-brief", Repeatable::Yes, 2, 4, modelDeadline})
        .add(Kind{"reading-trend-note", Repeatable::Yes, 2, 4, modelDeadline})
        .add(Kind{"past-report-fetch", Repeatable::Yes, 4, 6, applicationDeadline})
        .add(Kind{"report-sign-off", Repeatable::No, 10, 7, applicationDeadline});
}

void addWorkspaces(Deployment &deployment)
{
    for (const char *largeWorkspace : {"chanthaburi", "rayong", "trat"})
        deployment.add(Workspace{largeWorkspace, 8});
    for (const char *smallWorkspace : {"chachoengsao", "chon-buri", "nakhon-nayok", "prachin-buri",
                                       "sa-kaeo", "samut-prakan", "saraburi"})
        deployment.add(Workspace{smallWorkspace, 1});
}

void addModelGroup(Deployment &deployment, const std::string &name, const std::string &dataCentre,
                   ChecksFencing checksFencing)
{
    ModelGroup group;
    group.m_name = name;
    group.m_model = "shelf-moe-30b";
    group.m_adapters = {"loan-records"};
    group.m_kinds = {"branch-digest", "overdue-brief", "reading-trend-note"};
    group.m_limits = {2, 16, 32};
    group.m_ranks = 2;
    group.m_layers = 4;
    group.m_expertsPerLayer = 16;
    group.m_expertSlotsPerRank = 10;
    deployment.add(group).addRanks(name, dataCentre, checksFencing);
}

void addModelGroups(Deployment &deployment)
{
    addModelGroup(deployment, "reports-a1", "east-a", ChecksFencing::Yes);
    addModelGroup(deployment, "reports-a2", "east-a", ChecksFencing::Yes);
    addModelGroup(deployment, "reports-a3", "east-a", ChecksFencing::No);
    addModelGroup(deployment, "reports-b1", "east-b", ChecksFencing::Yes);
    addModelGroup(deployment, "reports-b2", "east-b", ChecksFencing::Yes);
    addModelGroup(deployment, "reports-b3", "east-b", ChecksFencing::No);
    addModelGroup(deployment, "reports-c1", "east-c", ChecksFencing::Yes);
    addModelGroup(deployment, "reports-c2", "east-c", ChecksFencing::No);
}

void addApplication(Deployment &deployment)
{
    deployment.add(Service{"application", {"past-report-fetch", "report-sign-off"}, {4, 32, 64}});
    for (const char *dataCentre : {"east-a", "east-b", "east-c"})
        deployment.add(
            Endpoint{std::string("application-") + dataCentre, "application", dataCentre});
}

} // namespace

int main()
{
    Deployment deployment;
    for (const char *name : {"east-a", "east-b", "east-c"})
        deployment.add(DataCentre{name});
    addKinds(deployment);
    addWorkspaces(deployment);
    addModelGroups(deployment);
    addApplication(deployment);
    std::cout << deployment.print();
    return 0;
}
