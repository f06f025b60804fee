#pragma once

#include <burdockhead/declarationerror.h>
#include <burdockhead/declarations.h>

#include <map>
#include <string>
#include <utility>

namespace burdockhead::declare {

// A deployment that is declared piece by piece and printed as the configuration that
// `burdockhead apply` takes. What a piece refers to is declared before it. Everything that
// can be wrong is refused at its declaration with a DeclarationError; what needs the whole,
// such as a kind that nobody answers, when it is printed.
class Deployment
{
public:
    Deployment &add(const DataCentre &dataCentre);
    Deployment &add(const Kind &kind);
    Deployment &add(const Workspace &workspace);
    Deployment &add(const ModelGroup &group);
    Deployment &add(const Service &service);
    Deployment &add(const Endpoint &endpoint);

    // Adds one endpoint for each rank of a declared model group, named "GROUP-RANK".
    Deployment &addRanks(const std::string &group, const std::string &dataCentre,
                         ChecksFencing checksFencing);

    // The configuration as INI text: every key is written, sections are sorted, so a change
    // to the program gives a small difference in the text.
    std::string print() const;

private:
    const ModelGroup *modelGroup(const std::string &name) const;
    bool isGroup(const std::string &name) const;
    void requireKinds(const std::string &place, const std::vector<std::string> &kinds) const;
    void requireCapacity(const std::string &kind) const;

    std::map<std::string, DataCentre> m_dataCentres;
    std::map<std::string, Kind> m_kinds;
    std::map<std::string, Workspace> m_workspaces;
    std::map<std::string, ModelGroup> m_modelGroups;
    std::map<std::string, Service> m_services;
    std::map<std::string, Endpoint> m_endpoints;
    std::map<std::pair<std::string, std::uint32_t>, std::string> m_ranks; // To its endpoint.
};

} // namespace burdockhead::declare
