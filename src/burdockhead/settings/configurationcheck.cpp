#include <burdockhead/settings/configurationcheck.h>
#include <burdockhead/settings/configurationkeys.h>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace burdockhead {

namespace {

// Validates one configuration and collects diagnostics.
class ConfigurationChecker
{
public:
    ConfigurationChecker(const Configuration &configuration, const IniDocument &document,
                         const std::string &fileName, Diagnostics &diagnostics)
        : m_configuration(configuration)
        , m_document(document)
        , m_fileName(fileName)
        , m_diagnostics(diagnostics)
    {
        for (const IniSection &section : document.m_sections)
            m_sectionsByHeading.emplace(section.heading(), &section);
    }

    void run()
    {
        if (m_document.m_sections.empty())
            m_diagnostics.push_back({m_fileName, 0, "", "", "the configuration is empty",
                                     allowedConfigurationSections});
        checkConflictingKinds();
        for (const EndpointGroup &group : m_configuration.m_groups)
            checkGroup(group);
        for (const Endpoint &endpoint : m_configuration.m_endpoints)
            checkEndpoint(endpoint);
        for (const RequestKind &kind : m_configuration.m_kinds)
            checkCapacity(kind);
    }

private:
    void report(const std::string &heading, const std::string &key, const std::string &message,
                const std::string &allowed)
    {
        const auto section = m_sectionsByHeading.find(heading);
        std::size_t line = 0;
        if (section != m_sectionsByHeading.end()) {
            const IniEntry *entry = section->second->entry(key);
            line = entry == nullptr ? section->second->m_line : entry->m_line;
        }
        m_diagnostics.push_back({m_fileName, line, heading, key, message, allowed});
    }

    void checkConflictingKinds()
    {
        std::map<std::string, const IniEntry *> firstEntries;
        for (const IniSection &section : m_document.m_sections) {
            const IniEntry *entry = section.entry("repeatable");
            if (section.m_type != kindSection || entry == nullptr)
                continue;
            const IniEntry *firstEntry = firstEntries.emplace(section.m_name, entry).first->second;
            if (firstEntry->m_value != entry->m_value)
                m_diagnostics.push_back({m_fileName, entry->m_line, section.heading(), "repeatable",
                                         "conflicting values for the kind; line "
                                             + std::to_string(firstEntry->m_line)
                                             + " has the opposite",
                                         "yes or no, once"});
        }
    }

    void checkGroup(const EndpointGroup &group)
    {
        const bool isModel = group.m_type == GroupType::Model;
        const std::string heading =
            std::string(isModel ? modelGroupSection : serviceSection) + " " + group.m_name.text();
        if (!m_groupNames.insert(group.m_name).second)
            report(heading, "", "a model group and a service have this name", "each name once");
        if (group.m_kinds.empty())
            report(heading, "kinds", "the group serves no kind", "at least one declared kind");
        for (const KindName &kind : group.m_kinds) {
            if (m_configuration.kind(kind) == nullptr)
                report(heading, "kinds", "no kind is named '" + kind.text() + "'",
                       "names of [kind NAME] sections");
        }
        if (group.m_coldLimit > group.m_warmLimit)
            report(heading, "cold_limit", "the value exceeds warm_limit",
                   "at most " + std::to_string(group.m_warmLimit));
        if (isModel)
            checkExpertSlots(group, heading);
    }

    void checkExpertSlots(const EndpointGroup &group, const std::string &heading)
    {
        const std::uint64_t slots = std::uint64_t(group.m_ranks) * group.m_expertSlotsPerRank;
        if (slots >= group.m_expertsPerLayer)
            return;
        const std::uint64_t needed = (group.m_expertsPerLayer + group.m_ranks - 1) / group.m_ranks;
        report(heading, "expert_slots_per_rank",
               std::to_string(slots) + " slots on all ranks are too few for "
                   + std::to_string(group.m_expertsPerLayer) + " experts",
               "at least " + std::to_string(needed));
    }

    void checkEndpoint(const Endpoint &endpoint)
    {
        const std::string heading = std::string(endpointSection) + " " + endpoint.m_name.text();
        const bool hasDataCentre = !endpoint.m_dataCentre.empty(); // Else already reported.
        if (hasDataCentre && m_configuration.dataCentre(endpoint.m_dataCentre) == nullptr)
            report(heading, "data_centre",
                   "no data centre is named '" + endpoint.m_dataCentre.text() + "'",
                   "names of [data_centre NAME] sections");
        if (endpoint.m_group.empty())
            return;
        const EndpointGroup *group = m_configuration.group(endpoint.m_group);
        if (group == nullptr) {
            report(heading, "group",
                   "no model group or service is named '" + endpoint.m_group.text() + "'",
                   "names of [model_group NAME] or [service NAME] sections");
            return;
        }
        m_groupsWithEndpoints.insert(endpoint.m_group);
        checkRank(endpoint, *group, heading);
    }

    void checkRank(const Endpoint &endpoint, const EndpointGroup &group, const std::string &heading)
    {
        if (endpoint.m_rank >= group.m_ranks) {
            report(heading, "rank", "the group has no rank " + std::to_string(endpoint.m_rank),
                   "0 to " + std::to_string(group.m_ranks - 1));
            return;
        }
        if (group.m_type == GroupType::Service)
            return;
        const auto [owner, isNew] =
            m_rankOwners.emplace(std::make_pair(group.m_name, endpoint.m_rank), endpoint.m_name);
        if (!isNew)
            report(heading, "rank",
                   "rank " + std::to_string(endpoint.m_rank) + " of the group is already used by "
                       + owner->second.text(),
                   "each rank of a group once");
    }

    // Ignores the states of data centres and endpoints: operators may take out any of them.
    void checkCapacity(const RequestKind &kind)
    {
        const std::string heading = std::string(kindSection) + " " + kind.m_name.text();
        bool isServed = false;
        for (const EndpointGroup &group : m_configuration.m_groups) {
            const auto &kinds = group.m_kinds;
            if (std::find(kinds.begin(), kinds.end(), kind.m_name) == kinds.end())
                continue;
            isServed = true;
            if (m_groupsWithEndpoints.contains(group.m_name))
                return;
        }
        if (isServed)
            report(heading, "", "no capacity: no group that serves this kind has an endpoint",
                   "at least one endpoint");
        else
            report(heading, "", "no capacity: no group serves this kind",
                   "kinds of at least one model group or service");
    }

    const Configuration &m_configuration;
    const IniDocument &m_document;
    const std::string &m_fileName;
    Diagnostics &m_diagnostics;
    std::unordered_map<std::string, const IniSection *> m_sectionsByHeading;
    std::set<GroupName> m_groupNames;
    std::set<GroupName> m_groupsWithEndpoints;
    std::map<std::pair<GroupName, std::uint32_t>, EndpointName> m_rankOwners;
};

} // namespace

void checkConfiguration(const Configuration &configuration, const IniDocument &document,
                        const std::string &fileName, Diagnostics &diagnostics)
{
    ConfigurationChecker(configuration, document, fileName, diagnostics).run();
}

} // namespace burdockhead
