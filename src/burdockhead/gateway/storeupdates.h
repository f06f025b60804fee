#pragma once

#include <burdockhead/gateway/configurationinforce.h>
#include <burdockhead/gateway/datacentresout.h>
#include <burdockhead/gateway/departedendpoints.h>
#include <burdockhead/gateway/endpointtable.h>
#include <burdockhead/gateway/gatewaybounds.h>
#include <burdockhead/gateway/peertable.h>
#include <burdockhead/gateway/quarantinestore.h>
#include <burdockhead/gateway/removalguard.h>
#include <burdockhead/gateway/storefollower.h>
#include <burdockhead/gateway/storeknowledgequery.h>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace burdockhead {

// The components of a gateway that StoreUpdates works with.
struct StoreUpdatesDependencies
{
    EventLoop &m_loop;
    HttpClientPool &m_storeClient;
    const StoreProtocol &m_protocol;
    SocketAddress m_store;
    EndpointTable &m_endpoints;
    PeerTable &m_peers;
    PromptGuard &m_promptGuard;
    LineSink &m_log;
    Metrics &m_metrics;
    const GatewayBounds &m_bounds;
    const std::vector<SocketAddress> &m_seeds; // Other gateways to ask before any are known.
    std::function<void()> m_tellPeers;         // Sends this gateway's record to others at once.
};

// Follows the platform's store and applies what it says to a gateway's tables: the configuration,
// the endpoints and the data centres out of service. Keeps what the store has lost when it comes
// back from an older copy, and asks other gateways for it; see docs/STORE-RESTORE.md.
class StoreUpdates
{
public:
    // `onConfiguration` is called with each configuration that comes into force, and `onChange`
    // after any change.
    StoreUpdates(const StoreUpdatesDependencies &dependencies,
                 std::function<void(const GatewayConfigurationPointer &)> onConfiguration,
                 std::function<void()> onChange);
    StoreUpdates(const StoreUpdates &) = delete;
    StoreUpdates &operator=(const StoreUpdates &) = delete;

    void start();

    // Exchanges revisions with the other gateways and ends what has expired; to be called a few
    // times a second.
    void refresh(TimePoint now);

    // Returns whether everything that a gateway needs to serve is known.
    bool isComplete() const;

    // Returns what to tell a gateway that has this configuration.
    StoreKnowledge knowledge(std::uint64_t version, std::uint64_t era) const;

    // Returns the response to a request of another gateway; none if it is no such request.
    std::optional<std::string> peerResponse(const HttpHead &request) const;

private:
    StoreFollowerDependencies followerDependencies();
    StoreRevisions newestRevisions() const;
    void tellPeersNews();
    void exchangeRevisions(TimePoint now);

    void applyConfigurations(const std::vector<StoreChange> &changes, const StoreUpdate &update);
    void applyConfiguration(const GatewayConfigurationPointer &configuration, std::uint64_t era,
                            const char *source);
    void recordUnusable(const char *event, const std::string &name, const std::string &reason);
    void recordStoredVersion(std::optional<std::uint64_t> version);

    bool applyEndpointChanges(const std::vector<StoreChange> &changes, const StoreUpdate &update);
    void applyEndpointList(const std::vector<StoreChange> &changes, const StoreUpdate &update);
    bool applyRegistration(const EndpointRegistration &registration, const StoreUpdate &update);
    void removeEndpoint(const StoreChange &change, const StoreUpdate &update);
    void keepMissingEndpoint(const EndpointName &name);
    void holdBack(const KnownEndpointPointer &endpoint);
    void reportRestarts(const EndpointRegistration &registration,
                        const KnownEndpointPointer &previous);

    void applyDataCentres();

    bool hasEra() const { return m_configurationFollower.era() > 0; }
    void askPeers();
    void applyKnowledge(const StoreKnowledge &state);

    StoreUpdatesDependencies m_dependencies;
    const std::function<void(const GatewayConfigurationPointer &)> m_onConfiguration;
    const std::function<void()> m_onChange;
    ConfigurationInForce m_configuration;
    std::string m_configurationPage; // The store's response that had the one in force.
    bool m_isConfigurationListPage = false;
    DataCentresOut m_dataCentresOut;
    DepartedEndpoints m_departedEndpoints;
    RemovalGuard m_removalGuard;
    Random m_random;
    StoreOutage m_outage;
    StoreFollower m_configurationFollower;
    StoreFollower m_endpointFollower;
    StoreFollower m_dataCentreFollower;
    QuarantineStore m_quarantineStore;
    HttpClientPool m_peerClient;
    StoreKnowledgeQuery m_knowledgeQuery;
    bool m_hasAskedPeers = false;
    TimePoint m_settledAt = TimePoint::min(); // When the writers have written again what was lost.
};

} // namespace burdockhead
