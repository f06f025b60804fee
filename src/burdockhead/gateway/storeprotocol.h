#pragma once

#include <burdockhead/gateway/endpointregistration.h>
#include <burdockhead/gateway/gatewayconfiguration.h>
#include <burdockhead/net/httphead.h>
#include <burdockhead/quarantine/quarantinetable.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace burdockhead {

// The collections of the platform's store that a gateway follows.
enum class StoreCollection : std::uint8_t {
    Configuration,
    Endpoints,
    DataCentresOut, // One object for each data centre that is taken out.
};

constexpr std::size_t storeCollectionCount = 3;

// The newest known store revision of each collection.
using StoreRevisions = std::array<std::uint64_t, storeCollectionCount>;

// An object that is invalid, and the reason.
struct UnusableObject
{
    std::string m_reason;

    friend bool operator==(const UnusableObject &, const UnusableObject &) = default;
};

// The current state of one object. A data centre that is taken out has no value.
struct StoreChange
{
    std::string m_name;
    bool m_isRemoved = false;
    std::uint64_t m_revision = 0; // The store's revision at the change.
    std::variant<std::monostate, GatewayConfigurationPointer, EndpointRegistration, UnusableObject>
        m_value;
};

// One page of a collection, or of its changes.
struct StorePage
{
    std::vector<StoreChange> m_changes;
    bool m_hasMore = false;
    std::uint64_t m_revision = 0; // The store's revision when the page was made.
};

// A request to the store that isn't a GET.
struct StoreWrite
{
    std::string m_method;
    std::string m_target;
    std::string m_body;

    friend bool operator==(const StoreWrite &, const StoreWrite &) = default;
};

// One page of the quarantines in the store.
struct QuarantinePage
{
    std::vector<QuarantineEntry> m_entries; // Those that can be read.
    bool m_hasMore = false;
    std::string m_lastName; // Of the last object on the page.
};

// A moment by the process's clock and by the time of day, in which the store keeps times.
struct StoreTime
{
    TimePoint m_now;
    std::int64_t m_millisecondsSince1970 = 0;
};

// Builds requests to the platform's store and parses its responses.
class StoreProtocol
{
public:
    virtual ~StoreProtocol() = default;

    // Returns the GET target of the page after that name; an empty name lists from the start.
    virtual std::string listTarget(StoreCollection collection, const std::string &after) const = 0;

    // Returns the GET target of a long poll that ends when there are changes after the revision, or
    // after `timeout`.
    virtual std::string watchTarget(StoreCollection collection, std::uint64_t revision,
                                    Milliseconds timeout) const = 0;

    // Returns the era of the store that a response names; 0 if none.
    virtual std::uint64_t parseEra(const HttpHead &response) const = 0;

    // Parse the response bodies; none if they are malformed.
    virtual std::optional<StorePage> parseList(StoreCollection collection,
                                               const std::string &body) const = 0;
    virtual std::optional<StorePage> parseChanges(StoreCollection collection,
                                                  const std::string &body) const = 0;

    // Build the requests that list quarantines after that name, create one, replace one, and remove
    // that of a part.
    virtual std::string quarantinesTarget(const std::string &after) const = 0;
    virtual StoreWrite createQuarantine(const QuarantineEntry &entry, StoreTime time) const = 0;
    virtual StoreWrite replaceQuarantine(const QuarantineEntry &entry, StoreTime time) const = 0;
    virtual StoreWrite removeQuarantine(const PromptPart &part) const = 0;

    // Parses a list of quarantines; none if it is malformed.
    virtual std::optional<QuarantinePage> parseQuarantines(const std::string &body,
                                                           StoreTime time) const = 0;

    // Returns the status that reports that changes after the requested revision are no longer
    // stored.
    virtual int historyLostStatus() const = 0;
};

} // namespace burdockhead
