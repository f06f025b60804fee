#pragma once

#include <burdockhead/gateway/endpointentry.h>
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
    DataCentresOut, // One object for each data centre that gets no requests.
};

constexpr std::size_t storeCollectionCount = 3;

// The newest change that is known of each collection, by the store's revision of it.
using StoreRevisions = std::array<std::uint64_t, storeCollectionCount>;

// An object that can't be used, and why.
struct UnusableObject
{
    std::string m_reason;

    friend bool operator==(const UnusableObject &, const UnusableObject &) = default;
};

// One object of a collection as it is now. A data centre that is out has no value.
struct StoreChange
{
    std::string m_name;
    bool m_isRemoved = false;
    std::uint64_t m_revision = 0; // Of the store, when it was changed.
    std::variant<std::monostate, GatewayConfigurationPointer, EndpointEntry, UnusableObject>
        m_value;
};

// A part of a collection, or what has changed in it.
struct StorePage
{
    std::vector<StoreChange> m_changes;
    bool m_hasMore = false;
    std::uint64_t m_revision = 0; // Of the store as the page was made.
};

// How the platform's store is asked, and what its answers mean.
class StoreProtocol
{
public:
    virtual ~StoreProtocol() = default;

    // The target of a GET for the part of a collection after that name; empty: from the start.
    virtual std::string listTarget(StoreCollection kind, const std::string &after) const = 0;

    // The target of a GET that is answered once there are changes after the revision, or none
    // within that time.
    virtual std::string watchTarget(StoreCollection kind, std::uint64_t revision,
                                    Milliseconds wait) const = 0;

    // The answers to them; none when they can't be read.
    virtual std::optional<StorePage> parseList(StoreCollection kind,
                                               const std::string &body) const = 0;
    virtual std::optional<StorePage> parseChanges(StoreCollection kind,
                                                  const std::string &body) const = 0;

    // The status of an answer that says that changes after the revision are no longer known.
    virtual int historyLostStatus() const = 0;
};

} // namespace burdockhead
