#pragma once

#include <burdockhead/gateway/departedendpoints.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace burdockhead {

// What one gateway tells another that has started, or whose view of the store was restored: what
// the store may have lost.
struct StoreKnowledge
{
    std::uint64_t m_configurationVersion = 0; // In force; 0 for none.
    std::uint64_t m_configurationEra = 0;
    // The response of the store that had it, if the other gateway has a lower version.
    std::string m_configurationPage;
    bool m_isListPage = false; // The page is one of a list, and not of changes.
    std::map<DataCentreName, TimePoint> m_dataCentresHeldOut; // And until when.
    std::map<EndpointRun, DepartureRecord> m_departures;

    friend bool operator==(const StoreKnowledge &, const StoreKnowledge &) = default;
};

// The target of a request for the state by a gateway that has this configuration.
constexpr const char *storeKnowledgePath = "/store-knowledge";
std::string storeKnowledgeTarget(std::uint64_t version, std::uint64_t era);

// Reads the version and era from such a target; none if it is another one.
std::optional<std::pair<std::uint64_t, std::uint64_t>>
parseStoreKnowledgeTarget(const std::string &target);

// Convert to and from a response that is sent or received at that time; none if it can't be read.
std::string writeStoreKnowledge(const StoreKnowledge &knowledge, TimePoint now);
std::optional<StoreKnowledge> readStoreKnowledge(std::string_view body, TimePoint now);

} // namespace burdockhead
