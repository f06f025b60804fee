#include "property.h"
#include <burdockhead/gateway/collectionview.h>
#include <burdockhead/gateway/configurationinforce.h>
#include <burdockhead/gateway/datacentresout.h>
#include <burdockhead/gateway/departedendpoints.h>
#include <burdockhead/gateway/storeknowledge.h>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <string>

using namespace burdockhead;

namespace {

using Objects = std::map<std::string, std::uint64_t>; // Name to the revision of the last change.

// A collection of the store, with a history, that can come back from a copy. Lists have pages of
// two objects.
class ModelStore
{
public:
    void put(const std::string &name)
    {
        m_state.m_objects[name] = ++m_state.m_revision;
        m_state.m_history.push_back({name, false, m_state.m_revision, {}});
    }

    void remove(const std::string &name)
    {
        if (m_state.m_objects.erase(name) > 0)
            m_state.m_history.push_back({name, true, ++m_state.m_revision, {}});
    }

    void takeCopy() { m_copy = m_state; }

    void restore()
    {
        m_state = m_copy;
        ++m_era;
    }

    StorePage list(const std::string &after) const
    {
        constexpr std::size_t pageSize = 2;
        StorePage page;
        page.m_revision = m_state.m_revision;
        for (auto item = m_state.m_objects.upper_bound(after); item != m_state.m_objects.end();
             ++item) {
            if (page.m_changes.size() == pageSize) {
                page.m_hasMore = true;
                break;
            }
            page.m_changes.push_back({item->first, false, item->second, {}});
        }
        return page;
    }

    // None if the store doesn't have that revision.
    std::optional<StorePage> changesAfter(std::uint64_t revision) const
    {
        if (revision > m_state.m_revision)
            return std::nullopt;
        StorePage page;
        page.m_revision = m_state.m_revision;
        for (const StoreChange &change : m_state.m_history) {
            if (change.m_revision > revision)
                page.m_changes.push_back(change);
        }
        return page;
    }

    const Objects &objects() const { return m_state.m_objects; }
    std::uint64_t era() const { return m_era; }

private:
    struct State
    {
        Objects m_objects;
        std::vector<StoreChange> m_history;
        std::uint64_t m_revision = 10;
    };

    State m_state;
    State m_copy;
    std::uint64_t m_era = 1;
};

// Follows the collection; without eras as the gateways did before the store named them.
class ModelFollower
{
public:
    explicit ModelFollower(bool usesEras)
        : m_usesEras(usesEras)
    {}

    // Makes the next call; returns whether it had nothing new.
    bool call(const ModelStore &store)
    {
        const std::uint64_t era = m_usesEras ? store.era() : 0;
        if (m_view.isWatching()) {
            const auto page = store.changesAfter(m_view.revision());
            if (!page) {
                m_view.startOver();
                return false;
            }
            const ViewAction action = m_view.recordChanges(era, *page);
            if (action == ViewAction::ApplyChanges)
                apply(page->m_changes);
            return action == ViewAction::Continue && m_view.isWatching();
        }
        const ViewAction action = m_view.recordPage(era, store.list(m_view.lastListedName()));
        if (action == ViewAction::Continue)
            return false;
        m_objects.clear();
        apply(m_view.takeList());
        m_restores += action == ViewAction::ApplyRestored ? 1 : 0;
        return false;
    }

    const Objects &objects() const { return m_objects; }
    int restores() const { return m_restores; }

private:
    void apply(const std::vector<StoreChange> &changes)
    {
        for (const StoreChange &change : changes) {
            if (change.m_isRemoved)
                m_objects.erase(change.m_name);
            else
                m_objects[change.m_name] = change.m_revision;
        }
    }

    const bool m_usesEras;
    CollectionView m_view;
    Objects m_objects;
    int m_restores = 0;
};

// Runs random changes, copies, restores and calls; returns whether the follower ends up with what
// the store has. It may be cut off for many changes.
bool followsRestores(bool usesEras)
{
    ModelStore store;
    ModelFollower follower(usesEras);
    const auto steps = *rc::gen::inRange(10, 200);
    int cutOffFor = 0;
    for (int step = 0; step < steps; ++step) {
        const std::string name(1, static_cast<char>('a' + *rc::gen::inRange(0, 8)));
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
            store.takeCopy();
            break;
        case 1:
            store.restore();
            break;
        case 2:
            cutOffFor = *rc::gen::inRange(1, 40);
            break;
        case 3:
        case 4:
        case 5:
            store.put(name);
            break;
        case 6:
            store.remove(name);
            break;
        default:
            if (cutOffFor == 0)
                follower.call(store);
            break;
        }
        cutOffFor -= cutOffFor > 0 ? 1 : 0;
    }
    for (int call = 0; call < 20 && !follower.call(store); ++call) {
    }
    return follower.objects() == store.objects();
}

// A configuration whose content is told by its limit.
GatewayConfigurationPointer configuration(std::uint64_t version, std::size_t content)
{
    HttpServerLimits limits;
    limits.m_maxBodyBytes = content;
    return std::make_shared<const GatewayConfiguration>(version, std::vector<Route>(),
                                                        std::vector<GatewayService>(),
                                                        std::vector<GatewayWorkspace>(), limits);
}

// How a gateway takes over what the store, or another gateway, has.
using Offer = std::function<void(ConfigurationInForce &, GatewayConfigurationPointer &,
                                 const GatewayConfigurationPointer &, std::uint64_t)>;

// What went wrong at gateways while the store came back from copies and the operators wrote again.
struct ConfigurationFailures
{
    bool m_hasReverted = false;
    bool m_hasMissedChange = false; // The store's configuration isn't in force in the end.
};

ConfigurationFailures followConfigurations(const Offer &offer)
{
    constexpr std::size_t gateways = 3;
    std::vector<ConfigurationInForce> tables(gateways);
    std::vector<GatewayConfigurationPointer> inForce(gateways);
    ConfigurationFailures failures;
    GatewayConfigurationPointer stored = configuration(1, 1);
    GatewayConfigurationPointer copy = stored;
    std::uint64_t era = 1;
    std::uint64_t highest = 1;
    std::size_t content = 1;
    const auto read = [&](std::size_t gateway) {
        const auto before = inForce[gateway];
        offer(tables[gateway], inForce[gateway], stored, era);
        failures.m_hasReverted |= before && inForce[gateway]->version() < before->version();
    };
    const auto steps = *rc::gen::inRange(5, 60);
    for (int step = 0; step < steps; ++step) {
        const auto gateway = *rc::gen::inRange<std::size_t>(0, gateways);
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            copy = stored;
            break;
        case 1:
            stored = copy;
            ++era;
            break;
        case 2:
        case 3:
            // The next change, which has the number of one that was lost if there was one.
            stored = configuration(stored->version() + 1, ++content);
            highest = std::max(highest, stored->version());
            break;
        case 4: // Restarts, and asks another gateway before it is ready.
            tables[gateway] = {};
            inForce[gateway] = nullptr;
            read(gateway);
            for (std::size_t other = 0; other < gateways; ++other) {
                if (other != gateway && inForce[other])
                    offer(tables[gateway], inForce[gateway], inForce[other], tables[other].era());
            }
            break;
        default:
            read(gateway);
            break;
        }
    }
    // In the end the operators have written what was lost, or something else under its number.
    const auto furtherChanges = *rc::gen::inRange<std::uint64_t>(0, 3);
    while (stored->version() < highest + furtherChanges)
        stored = configuration(stored->version() + 1, ++content);
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        read(gateway);
        failures.m_hasMissedChange |= !(*inForce[gateway] == *stored);
    }
    return failures;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreRestore)

BOOST_AUTO_TEST_CASE(a_follower_has_what_the_store_has_whenever_it_was_restored)
{
    checkProperty("with eras", [] { RC_ASSERT(followsRestores(true)); });
}

BOOST_AUTO_TEST_CASE(without_eras_a_follower_misses_changes)
{
    bool hasMissed = false;
    checkProperty("without eras", [&] { hasMissed |= !followsRestores(false); });
    BOOST_TEST(hasMissed);
}

BOOST_AUTO_TEST_CASE(pages_of_two_eras_are_no_list)
{
    ModelStore store;
    for (const std::string name : {"a", "b", "c"})
        store.put(name);
    store.takeCopy();
    store.remove("a");
    ModelFollower follower(true);
    follower.call(store);
    store.restore();
    for (int call = 0; call < 6; ++call)
        follower.call(store);
    BOOST_TEST((follower.objects() == store.objects()));
}

BOOST_AUTO_TEST_CASE(each_restore_is_told_once)
{
    ModelStore store;
    store.put("a");
    store.takeCopy();
    ModelFollower follower(true);
    for (int call = 0; call < 4; ++call)
        follower.call(store);
    BOOST_TEST(follower.restores() == 0);
    store.restore();
    for (int call = 0; call < 4; ++call)
        follower.call(store);
    BOOST_TEST(follower.restores() == 1);
}

BOOST_AUTO_TEST_CASE(a_response_of_an_older_era_is_not_used)
{
    CollectionView view;
    StorePage page;
    page.m_revision = 20;
    view.recordPage(2, page);
    BOOST_TEST((view.recordChanges(1, page) == ViewAction::Ignore));
    BOOST_TEST(view.isWatching());
}

BOOST_AUTO_TEST_CASE(revisions_of_a_newer_era_are_newer)
{
    const StoreRevision old = {1, 900};
    const StoreRevision restored = {2, 880};
    BOOST_TEST((old < restored));
    BOOST_TEST(toNumber(old) < toNumber(restored));
    BOOST_TEST((storeRevisionFromNumber(toNumber(restored)) == restored));
}

BOOST_AUTO_TEST_CASE(a_configuration_never_reverts_and_the_restored_store_prevails_in_the_end)
{
    checkProperty("configurations", [] {
        const ConfigurationFailures failures = followConfigurations(
            [](ConfigurationInForce &table, GatewayConfigurationPointer &inForce,
               const GatewayConfigurationPointer &offered, std::uint64_t era) {
                table.offer(offered, era);
                inForce = table.current();
            });
        RC_ASSERT(!failures.m_hasReverted);
        RC_ASSERT(!failures.m_hasMissedChange);
    });
}

// Naive versions.
BOOST_AUTO_TEST_CASE(if_the_higher_version_always_prevails_a_change_is_missed)
{
    bool hasMissed = false;
    checkProperty("the higher version", [&] {
        hasMissed |=
            followConfigurations([](ConfigurationInForce &, GatewayConfigurationPointer &inForce,
                                    const GatewayConfigurationPointer &offered, std::uint64_t) {
                if (!inForce || offered->version() > inForce->version())
                    inForce = offered;
            }).m_hasMissedChange;
    });
    BOOST_TEST(hasMissed);
}

BOOST_AUTO_TEST_CASE(if_the_store_always_prevails_a_configuration_reverts)
{
    bool hasReverted = false;
    checkProperty("the store", [&] {
        hasReverted |=
            followConfigurations([](ConfigurationInForce &, GatewayConfigurationPointer &inForce,
                                    const GatewayConfigurationPointer &offered, std::uint64_t) {
                inForce = offered;
            }).m_hasReverted;
    });
    BOOST_TEST(hasReverted);
}

BOOST_AUTO_TEST_CASE(the_store_lacks_the_configuration_in_force_until_it_has_the_version_again)
{
    const TimePoint now = TimePoint(Seconds(100));
    ConfigurationInForce table;
    table.recordStored(std::nullopt, now);
    BOOST_TEST(!table.missingSince().has_value());
    table.offer(configuration(5, 1), 1);
    table.recordStored(3, now);
    table.recordStored(4, now + Seconds(2));
    BOOST_TEST((table.missingSince() == now));
    table.recordStored(5, now + Seconds(3));
    BOOST_TEST(!table.missingSince().has_value());
}

BOOST_AUTO_TEST_CASE(a_data_centre_stays_out_until_it_was_written_again)
{
    const DataCentreName name("a");
    const TimePoint now = TimePoint(Seconds(100));
    DataCentresOut out;
    out.applyList({name}, false, now);
    out.applyList({}, true, now);
    BOOST_TEST(out.names().contains(name));
    BOOST_TEST(out.held().contains(name));
    // A further list, and a gateway that is told of it.
    out.applyList({}, false, now + Seconds(1));
    DataCentresOut other;
    other.hold(name, out.held().at(name));
    for (DataCentresOut *view : {&out, &other}) {
        BOOST_TEST(view->names().contains(name));
        view->applyChange(name, true);
        BOOST_TEST(view->held().empty());
        view->applyChange(name, false);
        BOOST_TEST(!view->names().contains(name));
    }
}

BOOST_AUTO_TEST_CASE(a_data_centre_that_nobody_writes_again_is_not_out_for_ever)
{
    const DataCentreName name("a");
    const TimePoint now = TimePoint(Seconds(100));
    DataCentresOut out;
    out.applyList({name}, false, now);
    out.applyList({}, true, now);
    out.removeExpired(now + Seconds(9));
    BOOST_TEST(out.names().contains(name));
    out.removeExpired(now + Seconds(11));
    BOOST_TEST(!out.names().contains(name));
}

BOOST_AUTO_TEST_CASE(in_a_list_as_usual_a_data_centre_that_is_missing_is_back)
{
    DataCentresOut out;
    out.applyList({DataCentreName("a")}, false, TimePoint());
    out.applyList({}, false, TimePoint());
    BOOST_TEST(out.names().empty());
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_was_leaving_is_not_used_when_what_was_written_is_repeated)
{
    const EndpointRun run = {EndpointName("e"), 5};
    const EndpointRun nextRun = {EndpointName("e"), 6};
    const TimePoint now = TimePoint(Seconds(100));
    DepartedEndpoints departed;
    departed.record(run, Departure::Leaving, now);
    departed.record(run, Departure::Removed, now);
    departed.recordRegistered(run, true);
    BOOST_TEST(departed.isLeaving(run));
    BOOST_TEST(!departed.isLeaving(nextRun));
    BOOST_TEST((departed.heldBackUntil(run, now) == TimePoint::max()));
    BOOST_TEST(!departed.heldBackUntil(nextRun, now).has_value());
    departed.recordRegistered(run, false);
    BOOST_TEST(!departed.isLeaving(run));
}

BOOST_AUTO_TEST_CASE(a_removed_endpoint_is_held_back_until_its_registration_would_have_expired)
{
    const EndpointRun run = {EndpointName("e"), 5};
    const TimePoint now = TimePoint(Seconds(100));
    DepartedEndpoints departed;
    departed.record(run, Departure::Removed, now);
    BOOST_TEST((departed.heldBackUntil(run, now) == now + Seconds(5)));
    departed.recordRegistered(run, true);
    BOOST_TEST(!departed.heldBackUntil(run, now).has_value());
    departed.record(run, Departure::Removed, now);
    departed.removeExpired(now + std::chrono::minutes(11));
    BOOST_TEST(!departed.heldBackUntil(run, now).has_value());
}

// A gateway that has just been told holds a data centre out for no longer than the other one.
BOOST_AUTO_TEST_CASE(what_a_gateway_knows_is_read_back_with_its_age)
{
    const TimePoint now = TimePoint(Seconds(100000));
    const TimePoint receivedAt = TimePoint(Seconds(7)); // By another clock.
    StoreKnowledge knowledge;
    knowledge.m_configurationVersion = 25;
    knowledge.m_configurationEra = 2;
    knowledge.m_configurationPage = R"({"items":[]})";
    knowledge.m_isListPage = true;
    const EndpointRun leaving = {EndpointName("e"), 5};
    knowledge.m_dataCentresHeldOut[DataCentreName("a")] = now + Seconds(4);
    knowledge.m_departures[leaving] = {Departure::Leaving, now - Seconds(3)};
    knowledge.m_departures[{EndpointName("f"), 6}] = {Departure::Removed, now};
    const std::string body = writeStoreKnowledge(knowledge, now);
    const auto read = readStoreKnowledge(body, receivedAt);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->m_dataCentresHeldOut.at(DataCentreName("a")) == receivedAt + Seconds(4)));
    BOOST_TEST((read->m_departures.at(leaving).m_at == receivedAt - Seconds(3)));
    BOOST_TEST((readStoreKnowledge(writeStoreKnowledge(*read, receivedAt), now) == knowledge));
    for (std::size_t length = 0; length < body.size(); ++length)
        BOOST_TEST(!readStoreKnowledge(body.substr(0, length), now).has_value());
    BOOST_TEST((parseStoreKnowledgeTarget(storeKnowledgeTarget(25, 2))
                == std::pair<std::uint64_t, std::uint64_t>(25, 2)));
    BOOST_TEST(!parseStoreKnowledgeTarget("/store-knowledge").has_value());
    BOOST_TEST(!parseStoreKnowledgeTarget("/other?version=1&era=1").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
