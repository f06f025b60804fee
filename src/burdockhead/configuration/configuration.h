#pragma once

#include <burdockhead/configuration/datacentre.h>
#include <burdockhead/configuration/endpoint.h>
#include <burdockhead/configuration/endpointgroup.h>
#include <burdockhead/configuration/requestkind.h>
#include <burdockhead/configuration/workspace.h>

#include <vector>

namespace burdockhead {

// The operators' complete configuration, replaced as a whole by each change. Each list is sorted
// by name, and names are unique in it.
struct Configuration
{
    std::vector<DataCentre> m_dataCentres;
    std::vector<RequestKind> m_kinds;
    std::vector<Workspace> m_workspaces;
    std::vector<EndpointGroup> m_groups;
    std::vector<Endpoint> m_endpoints;

    // Each returns the item of that name, or a null pointer.
    const DataCentre *dataCentre(const DataCentreName &name) const;
    const RequestKind *kind(const KindName &name) const;
    const Workspace *workspace(const WorkspaceName &name) const;
    const EndpointGroup *group(const GroupName &name) const;
    const Endpoint *endpoint(const EndpointName &name) const;

    // Returns true if the data centre is taken out or not configured.
    bool isTakenOut(const DataCentreName &name) const;

    friend bool operator==(const Configuration &, const Configuration &) = default;
};

} // namespace burdockhead
