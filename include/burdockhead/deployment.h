#pragma once

#include <burdockhead/declarationerror.h>
#include <burdockhead/declarations.h>

#include <map>
#include <string>
#include <utility>

namespace burdockhead::declare {

// Builds a deployment from declarations and prints it as the configuration that
// `burdockhead apply` accepts. A declaration may refer only to earlier ones. An invalid
// declaration throws a DeclarationError when it is added; print() throws for errors that need
// the whole deployment, such as a kind that no endpoint serves.
class Deployment
{
public:
    Deployment &add(const DataCentre &dataCentre);
    Deployment &add(const Kind &kind);
    Deployment &add(const Workspace &workspace);
    Deployment &add(const ModelGroup &group);
    Deployment &add(const Service &service);
    Deployment &add(const Endpoint &endpoint);

    // Adds one endpoint, named "GROUP-RANK", for each rank of a declared model group.
    Deployment &addRanks(const std::string &group, const std::string &dataCentre,
                         ChecksFencing checksFencing);

    // Returns the configuration as INI text. Every key is written and sections are sorted, so
    // that a change to the declarations causes a small difference in the text.
    std::string print() const;

private:
    const ModelGroup *findModelGroup(const std::string &name) const;
    bool isGroup(const std::string &name) const;
    void requireKinds(const std::string &declaration, const std::vector<std::string> &kinds) const;
    void requireServingEndpoint(const std::string &kind) const;

    std::map<std::string, DataCentre> m_dataCentres;
    std::map<std::string, Kind> m_kinds;
    std::map<std::string, Workspace> m_workspaces;
    std::map<std::string, ModelGroup> m_modelGroups;
    std::map<std::string, Service> m_services;
    std::map<std::string, Endpoint> m_endpoints;
    // Endpoint names by group and rank.
    std::map<std::pair<std::string, std::uint32_t>, std::string> m_endpointOfRank;
};

} // namespace burdockhead::declare
