#include <burdockhead/settings/configurationcheck.h>
#include <burdockhead/settings/configurationkeys.h>
#include <burdockhead/settings/configurationtext.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Parses a section and appends the result to the list of its type.
template <typename Item>
void readItem(const IniSection &section, const std::string &fileName,
              const std::vector<KeyBinding<Item>> &keys, Item item, std::vector<Item> &items,
              Diagnostics &diagnostics)
{
    item.m_name = decltype(item.m_name)(section.m_name);
    readKeys(section, fileName, keys, item, diagnostics);
    items.push_back(std::move(item));
}

EndpointGroup groupOfType(GroupType type)
{
    EndpointGroup group;
    group.m_type = type;
    return group;
}

void readSection(const IniSection &section, const std::string &fileName, Configuration &target,
                 Diagnostics &diagnostics)
{
    const std::string &type = section.m_type;
    if (type == dataCentreSection)
        readItem(section, fileName, dataCentreKeys(), {}, target.m_dataCentres, diagnostics);
    else if (type == kindSection)
        readItem(section, fileName, kindKeys(), {}, target.m_kinds, diagnostics);
    else if (type == workspaceSection)
        readItem(section, fileName, workspaceKeys(), {}, target.m_workspaces, diagnostics);
    else if (type == modelGroupSection)
        readItem(section, fileName, modelGroupKeys(), groupOfType(GroupType::Model),
                 target.m_groups, diagnostics);
    else if (type == serviceSection)
        readItem(section, fileName, serviceKeys(), groupOfType(GroupType::Service), target.m_groups,
                 diagnostics);
    else if (type == endpointSection)
        readItem(section, fileName, endpointKeys(), {}, target.m_endpoints, diagnostics);
    else
        diagnostics.push_back({fileName, section.m_line, section.heading(), "", "unknown section",
                               allowedConfigurationSections});
    if (!isValidName(section.m_name))
        diagnostics.push_back({fileName, section.m_line, section.heading(), "",
                               "bad name '" + section.m_name + "'", allowedName});
}

template <typename Item>
void sortByName(std::vector<Item> &items)
{
    std::stable_sort(items.begin(), items.end(), [](const Item &left, const Item &right) {
        return left.m_name < right.m_name;
    });
}

void sortLists(Configuration &configuration)
{
    sortByName(configuration.m_dataCentres);
    sortByName(configuration.m_kinds);
    sortByName(configuration.m_workspaces);
    sortByName(configuration.m_groups);
    sortByName(configuration.m_endpoints);
}

template <typename Item>
void printItem(std::string &text, const char *type, const std::vector<KeyBinding<Item>> &keys,
               const Item &item)
{
    text += text.empty() ? "[" : "\n[";
    text += std::string(type) + " " + item.m_name.text() + "]\n" + printKeys(keys, item);
}

template <typename Item>
void printItems(std::string &text, const char *type, const std::vector<KeyBinding<Item>> &keys,
                const std::vector<Item> &items)
{
    for (const Item &item : items)
        printItem(text, type, keys, item);
}

} // namespace

std::optional<Configuration>
parseConfiguration(const std::string &text, const std::string &fileName, Diagnostics &diagnostics)
{
    const std::size_t initialCount = diagnostics.size();
    const IniDocument document = readIniDocument(text, fileName, diagnostics);
    Configuration configuration;
    for (const IniSection &section : document.m_sections)
        readSection(section, fileName, configuration, diagnostics);
    sortLists(configuration);
    checkConfiguration(configuration, document, fileName, diagnostics);
    if (diagnostics.size() != initialCount)
        return std::nullopt;
    return configuration;
}

std::string printConfiguration(const Configuration &configuration)
{
    std::string text;
    printItems(text, dataCentreSection, dataCentreKeys(), configuration.m_dataCentres);
    printItems(text, kindSection, kindKeys(), configuration.m_kinds);
    printItems(text, workspaceSection, workspaceKeys(), configuration.m_workspaces);
    for (const EndpointGroup &group : configuration.m_groups) {
        if (group.m_type == GroupType::Model)
            printItem(text, modelGroupSection, modelGroupKeys(), group);
        else
            printItem(text, serviceSection, serviceKeys(), group);
    }
    printItems(text, endpointSection, endpointKeys(), configuration.m_endpoints);
    return text;
}

std::vector<KeyDescription> configurationKeys()
{
    std::vector<KeyDescription> descriptions;
    describeKeys(dataCentreSection, dataCentreKeys(), descriptions);
    describeKeys(kindSection, kindKeys(), descriptions);
    describeKeys(workspaceSection, workspaceKeys(), descriptions);
    describeKeys(modelGroupSection, modelGroupKeys(), descriptions);
    describeKeys(serviceSection, serviceKeys(), descriptions);
    describeKeys(endpointSection, endpointKeys(), descriptions);
    return descriptions;
}

} // namespace burdockhead
