#include <burdockhead/gateway/storeupdates.h>
#include <burdockhead/process/processstart.h>

#include <algorithm>
#include <set>

namespace burdockhead {

namespace {

// After the store has come back from an older copy, endpoints that the copy doesn't have register
// again within about two seconds.
constexpr Milliseconds restoreTime{3000};
// In which writers repeat what they had written, in any order.
constexpr Milliseconds settlingTime{10000};
// Gateways that tell others at once of news that these may have missed.
constexpr std::size_t maxTellers = 32;
// Gateways that are asked for what the store may have lost.
constexpr std::size_t maxPeersToAsk = 4;

const char *sourceName(const StoreUpdate &update)
{
    if (update.m_isRestored)
        return "restored";
    return update.m_isList ? "list" : "watch";
}

EndpointRun runOf(const EndpointRegistration &registration)
{
    return {registration.m_name, registration.m_startedAt};
}

} // namespace

StoreUpdates::StoreUpdates(const StoreUpdatesDependencies &dependencies,
                           std::function<void(const GatewayConfigurationPointer &)> onConfiguration,
                           std::function<void()> onChange)
    : m_dependencies(dependencies)
    , m_onConfiguration(std::move(onConfiguration))
    , m_onChange(std::move(onChange))
    , m_random(systemSeed())
    , m_configurationFollower(followerDependencies(), StoreCollection::Configuration,
                              {[this](const auto &changes, const auto &update) {
                                   applyConfigurations(changes, update);
                               },
                               [this](const auto &changes, const auto &update) {
                                   applyConfigurations(changes, update);
                                   return true;
                               }},
                              Random(systemSeed()))
    , m_endpointFollower(
          followerDependencies(), StoreCollection::Endpoints,
          {[this](const auto &changes, const auto &update) { applyEndpointList(changes, update); },
           [this](const auto &changes, const auto &update) {
               return applyEndpointChanges(changes, update);
           }},
          Random(systemSeed()))
    , m_dataCentreFollower(
          followerDependencies(), StoreCollection::DataCentresOut,
          {[this](const auto &changes, const auto &update) {
               std::set<DataCentreName> listed;
               for (const StoreChange &change : changes)
                   listed.insert(DataCentreName(change.m_name));
               m_dataCentresOut.applyList(listed, update.m_isRestored, Clock::now());
               applyDataCentres();
           },
           [this](const auto &changes, const auto &) {
               for (const StoreChange &change : changes)
                   m_dataCentresOut.applyChange(DataCentreName(change.m_name), !change.m_isRemoved);
               applyDataCentres();
               return true;
           }},
          Random(systemSeed()))
    , m_quarantineStore(dependencies.m_loop, dependencies.m_storeClient, dependencies.m_protocol,
                        dependencies.m_store, dependencies.m_promptGuard, dependencies.m_log,
                        [this] { m_onChange(); })
    , m_peerClient(dependencies.m_loop)
    , m_knowledgeQuery(
          dependencies.m_loop, m_peerClient,
          [this](const StoreKnowledge &state) { applyKnowledge(state); },
          [this] {
              m_hasAskedPeers = true;
              m_onChange();
          })
{}

StoreFollowerDependencies StoreUpdates::followerDependencies()
{
    return {m_dependencies.m_loop,
            m_dependencies.m_storeClient,
            m_dependencies.m_protocol,
            m_dependencies.m_store,
            m_dependencies.m_log,
            m_dependencies.m_metrics,
            m_outage,
            [this] { tellPeersNews(); }};
}

StoreRevisions StoreUpdates::newestRevisions() const
{
    return {m_configurationFollower.newestRevision(), m_endpointFollower.newestRevision(),
            m_dataCentreFollower.newestRevision()};
}

// A part of the gateways does, so that a change costs many of them few messages.
void StoreUpdates::tellPeersNews()
{
    PeerTable &peers = m_dependencies.m_peers;
    const std::size_t gateways = peers.livePeers(Clock::now()).size() + 1;
    if (m_random() % std::max(gateways, maxTellers) >= maxTellers)
        return;
    peers.setNewestRevisions(newestRevisions());
    m_dependencies.m_tellPeers();
}

void StoreUpdates::start()
{
    m_configurationFollower.start();
    m_endpointFollower.start();
    m_dataCentreFollower.start();
    m_quarantineStore.refresh(false, Clock::now());
}

bool StoreUpdates::isComplete() const
{
    return m_configuration.current() && m_endpointFollower.isListed()
           && m_dataCentreFollower.isListed() && m_quarantineStore.isRead()
           && (m_hasAskedPeers || !hasEra());
}

void StoreUpdates::refresh(TimePoint now)
{
    exchangeRevisions(now);
    m_departedEndpoints.removeExpired(now);
    m_dataCentresOut.removeExpired(now);
    if (m_dataCentresOut.names() != m_dependencies.m_endpoints.dataCentresOut())
        applyDataCentres();
    if (m_configurationFollower.isListed() && !m_outage.isActive())
        m_quarantineStore.refresh(m_dependencies.m_peers.localPosition(now).m_index == 0, now);
}

// Publishes the applied store revisions to the other gateways, and restarts watches that have
// missed revisions, or a new era, which other gateways or followers know.
void StoreUpdates::exchangeRevisions(TimePoint now)
{
    const std::array<StoreFollower *, storeCollectionCount> followers = {
        &m_configurationFollower, &m_endpointFollower, &m_dataCentreFollower};
    PeerTable &peers = m_dependencies.m_peers;
    peers.setNewestRevisions(newestRevisions());
    const StoreRevisions knownRevisions = peers.newestRevisions(now);
    const std::size_t gatewayCount = peers.livePeers(now).size() + 1;
    std::uint64_t newestEra = 0;
    for (std::size_t index = 0; index < storeCollectionCount; ++index)
        newestEra = std::max({newestEra, followers[index]->era(),
                              storeRevisionFromNumber(knownRevisions[index]).m_era});
    for (std::size_t index = 0; index < storeCollectionCount; ++index) {
        followers[index]->setGatewayCount(gatewayCount);
        followers[index]->onEraKnownElsewhere(newestEra);
        followers[index]->onRevisionKnownElsewhere(knownRevisions[index]);
    }
}

void StoreUpdates::applyConfigurations(const std::vector<StoreChange> &changes,
                                       const StoreUpdate &update)
{
    std::optional<std::uint64_t> storedVersion;
    for (const StoreChange &change : changes) {
        if (const auto *invalid = std::get_if<UnusableObject>(&change.m_value)) {
            recordUnusable("configuration_unusable", change.m_name, invalid->m_reason);
            continue;
        }
        const auto *configuration = std::get_if<GatewayConfigurationPointer>(&change.m_value);
        if (change.m_isRemoved || configuration == nullptr)
            continue;
        storedVersion = (*configuration)->version();
        const GatewayConfigurationPointer previous = m_configuration.current();
        applyConfiguration(*configuration, m_configurationFollower.era(), sourceName(update));
        if (hasEra() && m_configuration.current() != previous) {
            m_configurationPage = update.m_body;
            m_isConfigurationListPage = update.m_isList;
        }
    }
    if (update.m_isList || storedVersion)
        recordStoredVersion(storedVersion);
    const bool mustAsk = update.m_isRestored || (hasEra() && !m_hasAskedPeers);
    if (mustAsk)
        askPeers();
    if (update.m_isRestored)
        m_quarantineStore.onRestored();
    m_onChange();
}

void StoreUpdates::recordUnusable(const char *event, const std::string &name,
                                  const std::string &reason)
{
    m_dependencies.m_log.add(event, {{"name", name}, {"reason", reason}});
    m_dependencies.m_metrics
        .counter("burdockhead_gateway_unusable_objects_total", {{"event", event}})
        .add();
}

void StoreUpdates::applyConfiguration(const GatewayConfigurationPointer &configuration,
                                      std::uint64_t era, const char *source)
{
    const bool isApplied = m_configuration.offer(configuration, era);
    if (isApplied)
        m_onConfiguration(configuration);
    m_dependencies.m_log.add(isApplied ? "configuration_applied" : "configuration_ignored",
                             {{"version", std::to_string(configuration->version())},
                              {"in_force", std::to_string(m_configuration.current()->version())},
                              {"era", std::to_string(era)},
                              {"source", source},
                              {"routes", std::to_string(configuration->routes().size())}});
}

void StoreUpdates::recordStoredVersion(std::optional<std::uint64_t> version)
{
    const TimePoint now = Clock::now();
    const std::optional<TimePoint> missingSince = m_configuration.missingSince();
    m_configuration.recordStored(version, now);
    if (missingSince == m_configuration.missingSince())
        return;
    const auto missingTime =
        std::chrono::duration_cast<Milliseconds>(now - missingSince.value_or(now));
    m_dependencies.m_log.add(missingSince ? "store_caught_up" : "store_lacks_configuration",
                             {{"in_force", std::to_string(m_configuration.current()->version())},
                              {"stored", version ? std::to_string(*version) : ""},
                              {"after_ms", std::to_string(missingTime.count())}});
}

bool StoreUpdates::applyEndpointChanges(const std::vector<StoreChange> &changes,
                                        const StoreUpdate &update)
{
    bool hasNewChanges = false;
    for (const StoreChange &change : changes) {
        if (const auto *invalid = std::get_if<UnusableObject>(&change.m_value)) {
            recordUnusable("endpoint_unusable", change.m_name, invalid->m_reason);
            m_dependencies.m_endpoints.remove(EndpointName(change.m_name), Clock::now());
            continue;
        }
        const auto *registration = std::get_if<EndpointRegistration>(&change.m_value);
        if (change.m_isRemoved || registration == nullptr) {
            removeEndpoint(change, update);
            hasNewChanges = true;
            continue;
        }
        hasNewChanges |= applyRegistration(*registration, update);
    }
    m_onChange();
    return hasNewChanges;
}

// Returns whether the registration differs from the known one.
bool StoreUpdates::applyRegistration(const EndpointRegistration &registration,
                                     const StoreUpdate &update)
{
    const TimePoint now = Clock::now();
    EndpointTable &endpoints = m_dependencies.m_endpoints;
    const auto previous = endpoints.find(registration.m_name);
    if (!update.m_isList && !registration.m_isLeaving)
        m_departedEndpoints.recordRegistered(runOf(registration), now < m_settledAt);
    // A copy of the store may show the endpoint as it was before.
    EndpointRegistration applied = registration;
    applied.m_isLeaving |= m_departedEndpoints.isLeaving(runOf(registration));
    if (applied.m_isLeaving)
        m_departedEndpoints.record(runOf(applied), Departure::Leaving, now);
    const bool isChanged = !previous || previous->m_registration != applied;
    const bool wasLeaving = previous && previous->m_registration.m_isLeaving;
    const bool isNew = endpoints.update(applied);
    const auto current = endpoints.find(applied.m_name);
    if (update.m_isRestored)
        holdBack(current);
    else if (!update.m_isList)
        current->m_usableFrom = TimePoint::min();
    if (isNew)
        reportRestarts(applied, previous);
    if (isNew || wasLeaving != applied.m_isLeaving)
        m_dependencies.m_log.add(isNew ? "endpoint_new" : "endpoint_changed",
                                 {{"endpoint", applied.m_name.text()},
                                  {"service", applied.m_service.text()},
                                  {"address", applied.m_address.toString()},
                                  {"leaving", applied.m_isLeaving ? "yes" : "no"}});
    return isChanged;
}

void StoreUpdates::removeEndpoint(const StoreChange &change, const StoreUpdate &update)
{
    const EndpointName name(change.m_name);
    const auto endpoint = m_dependencies.m_endpoints.find(name);
    if (!endpoint || endpoint->m_usableUntil != TimePoint::max())
        return;
    const TimePoint now = Clock::now();
    const EndpointRegistration &registration = endpoint->m_registration;
    m_dependencies.m_promptGuard.recordGone(runOf(registration), now);
    m_departedEndpoints.record(runOf(registration), Departure::Removed, now);
    m_dependencies.m_endpoints.remove(name, now);
    const std::size_t remaining =
        m_dependencies.m_endpoints.registeredCount(registration.m_service);
    // One that is leaving or replaced has got no requests for some time.
    if (!registration.m_isLeaving && !endpoint->m_isReplaced)
        endpoint->m_usableUntil =
            m_removalGuard.usableUntil({registration.m_service, remaining, update.m_madeAfter},
                                       m_dependencies.m_bounds.m_leaveTime, now);
    const auto maxAge = std::chrono::duration_cast<Milliseconds>(now - update.m_madeAfter);
    const auto usableTime = millisecondsUntil(endpoint->m_usableUntil, now);
    m_dependencies.m_log.add("endpoint_gone", {{"endpoint", change.m_name},
                                               {"source", sourceName(update)},
                                               {"revision", std::to_string(change.m_revision)},
                                               {"max_age_ms", std::to_string(maxAge.count())},
                                               {"remaining", std::to_string(remaining)},
                                               {"usable_ms", std::to_string(usableTime)}});
}

// Applies a full list; endpoints that it doesn't contain are removed, unless the store has lost
// them.
void StoreUpdates::applyEndpointList(const std::vector<StoreChange> &changes,
                                     const StoreUpdate &update)
{
    if (update.m_isRestored)
        m_settledAt = Clock::now() + settlingTime;
    std::set<std::string> listed;
    for (const StoreChange &change : changes)
        listed.insert(change.m_name);
    std::vector<StoreChange> allChanges = changes;
    for (const auto &item : m_dependencies.m_endpoints.endpoints()) {
        const std::string &name = item.first.text();
        if (listed.contains(name))
            continue;
        if (update.m_isRestored)
            keepMissingEndpoint(item.first);
        else
            allChanges.push_back({name, true, 0, {}});
    }
    applyEndpointChanges(allChanges, update);
}

void StoreUpdates::keepMissingEndpoint(const EndpointName &name)
{
    const auto endpoint = m_dependencies.m_endpoints.find(name);
    if (endpoint->m_usableUntil != TimePoint::max())
        return;
    m_dependencies.m_endpoints.remove(name, Clock::now() + restoreTime);
    m_dependencies.m_log.add(
        "endpoint_missing",
        {{"endpoint", name.text()}, {"usable_ms", std::to_string(restoreTime.count())}});
}

// Doesn't use an endpoint that had departed before the store was restored.
void StoreUpdates::holdBack(const KnownEndpointPointer &endpoint)
{
    const TimePoint now = Clock::now();
    const auto until = m_departedEndpoints.heldBackUntil(runOf(endpoint->m_registration), now);
    if (!until || endpoint->m_usableFrom >= *until)
        return;
    endpoint->m_usableFrom = *until;
    m_dependencies.m_log.add("endpoint_held_back",
                             {{"endpoint", endpoint->m_registration.m_name.text()},
                              {"leaving", *until == TimePoint::max() ? "yes" : "no"}});
}

// An endpoint that has started ends the one that had its name or its address.
void StoreUpdates::reportRestarts(const EndpointRegistration &registration,
                                  const KnownEndpointPointer &previous)
{
    const TimePoint now = Clock::now();
    if (previous)
        m_dependencies.m_promptGuard.recordGone(runOf(previous->m_registration), now);
    for (const auto &[name, other] : m_dependencies.m_endpoints.endpoints()) {
        if (other->m_isReplaced && other->m_registration.m_address == registration.m_address)
            m_dependencies.m_promptGuard.recordGone(runOf(other->m_registration), now);
    }
}

// Brings the endpoint table in line with m_dataCentresOut.
void StoreUpdates::applyDataCentres()
{
    EndpointTable &endpoints = m_dependencies.m_endpoints;
    const auto set = [&](const DataCentreName &name, bool isOut) {
        endpoints.setDataCentreOut(name, isOut);
        m_dependencies.m_log.add(isOut ? "data_centre_out" : "data_centre_back",
                                 {{"data_centre", name.text()}});
    };
    for (const DataCentreName &name : endpoints.dataCentresOut()) {
        if (!m_dataCentresOut.names().contains(name))
            set(name, false);
    }
    for (const DataCentreName &name : m_dataCentresOut.names()) {
        if (!endpoints.isDataCentreOut(name))
            set(name, true);
    }
    m_onChange();
}

// Asks live gateways, or at the start the seeds, for what the store may have lost.
void StoreUpdates::askPeers()
{
    std::vector<SocketAddress> gateways = m_dependencies.m_peers.livePeers(Clock::now());
    if (gateways.empty())
        gateways = m_dependencies.m_seeds;
    std::erase(gateways, m_dependencies.m_peers.local().m_gossipAddress);
    gateways.resize(std::min(gateways.size(), maxPeersToAsk));
    const auto &current = m_configuration.current();
    m_knowledgeQuery.start(
        gateways, storeKnowledgeTarget(current ? current->version() : 0, m_configuration.era()));
}

StoreKnowledge StoreUpdates::knowledge(std::uint64_t version, std::uint64_t era) const
{
    StoreKnowledge state;
    if (const auto &current = m_configuration.current()) {
        state.m_configurationVersion = current->version();
        state.m_configurationEra = m_configuration.era();
        if (std::pair(current->version(), m_configuration.era()) > std::pair(version, era)) {
            state.m_configurationPage = m_configurationPage;
            state.m_isListPage = m_isConfigurationListPage;
        }
    }
    state.m_dataCentresHeldOut = m_dataCentresOut.held();
    state.m_departures = m_departedEndpoints.records();
    return state;
}

std::optional<std::string> StoreUpdates::peerResponse(const HttpHead &request) const
{
    const auto known = parseStoreKnowledgeTarget(request.m_target);
    if (!known || request.m_method != "GET")
        return std::nullopt;
    return writeStoreKnowledge(knowledge(known->first, known->second), Clock::now());
}

void StoreUpdates::applyKnowledge(const StoreKnowledge &state)
{
    if (!state.m_configurationPage.empty()) {
        const auto page = state.m_isListPage
                              ? m_dependencies.m_protocol.parseList(StoreCollection::Configuration,
                                                                    state.m_configurationPage)
                              : m_dependencies.m_protocol.parseChanges(
                                  StoreCollection::Configuration, state.m_configurationPage);
        const GatewayConfigurationPointer previous = m_configuration.current();
        for (const StoreChange &change : page ? page->m_changes : std::vector<StoreChange>()) {
            const auto *configuration = std::get_if<GatewayConfigurationPointer>(&change.m_value);
            if (configuration != nullptr
                && (*configuration)->version() == state.m_configurationVersion)
                applyConfiguration(*configuration, state.m_configurationEra, "gateway");
        }
        if (m_configuration.current() != previous) {
            m_configurationPage = state.m_configurationPage;
            m_isConfigurationListPage = state.m_isListPage;
        }
    }
    for (const auto &[name, until] : state.m_dataCentresHeldOut)
        m_dataCentresOut.hold(name, until);
    for (const auto &[endpoint, record] : state.m_departures) {
        m_departedEndpoints.record(endpoint, record.m_departure, record.m_at);
        const auto known = m_dependencies.m_endpoints.find(endpoint.m_name);
        if (known && known->m_registration.m_startedAt == endpoint.m_startedAt)
            holdBack(known);
    }
    applyDataCentres();
}

} // namespace burdockhead
