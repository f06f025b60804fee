#pragma once

#include <burdockhead/gateway/endpointregistration.h>
#include <burdockhead/gateway/gatewayconfiguration.h>

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

    // Parse the response bodies; none if they are malformed.
    virtual std::optional<StorePage> parseList(StoreCollection collection,
                                               const std::string &body) const = 0;
    virtual std::optional<StorePage> parseChanges(StoreCollection collection,
                                                  const std::string &body) const = 0;

    // Returns the status that reports that changes after the requested revision are no longer
    // stored.
    virtual int historyLostStatus() const = 0;
};

} // namespace burdockhead
