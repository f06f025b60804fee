#include <burdockhead/configuration/configuration.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Returns the item of that name in a list sorted by name, or a null pointer.
template <typename Item, typename ItemName>
const Item *find(const std::vector<Item> &items, const ItemName &name)
{
    const auto found =
        std::lower_bound(items.begin(), items.end(), name,
                         [](const Item &item, const ItemName &key) { return item.m_name < key; });
    return found != items.end() && found->m_name == name ? &*found : nullptr;
}

} // namespace

const DataCentre *Configuration::dataCentre(const DataCentreName &name) const
{
    return find(m_dataCentres, name);
}

const RequestKind *Configuration::kind(const KindName &name) const
{
    return find(m_kinds, name);
}

const Workspace *Configuration::workspace(const WorkspaceName &name) const
{
    return find(m_workspaces, name);
}

const EndpointGroup *Configuration::group(const GroupName &name) const
{
    return find(m_groups, name);
}

const Endpoint *Configuration::endpoint(const EndpointName &name) const
{
    return find(m_endpoints, name);
}

bool Configuration::isTakenOut(const DataCentreName &name) const
{
    const DataCentre *found = dataCentre(name);
    return found == nullptr || found->m_takenOut;
}

} // namespace burdockhead
