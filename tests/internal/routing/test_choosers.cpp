#include "property.h"
#include "routingfixture.h"
#include <burdockhead/routing/replicachooser.h>

#include <set>

using namespace burdockhead;

namespace {

// Creates a table in a random state.
ReplicaTable drawTable(const RouterOptions &options, unsigned endpoints)
{
    ReplicaTable table(options);
    Configuration configuration = makeConfiguration(endpoints);
    for (DataCentre &dataCentre : configuration.m_dataCentres)
        dataCentre.m_takenOut = *rc::gen::inRange(0, 4) == 0;
    table.applyConfiguration(makeVersion(1, configuration));
    Random random(1);
    for (unsigned number = 0; number < endpoints; ++number) {
        const auto state = static_cast<ReplicaState>(*rc::gen::inRange(0, 4));
        table.applyAnnouncement(makeAnnouncement(number, 1, state), startTime);
        const ReplicaIndex index = *table.find(endpointName(number));
        LoadReport report{*rc::gen::inRange(0U, 5U), *rc::gen::inRange(0U, 5U), 4, 1000};
        report.m_isCold = *rc::gen::arbitrary<bool>();
        table.recordReport(index, report, startTime);
        for (int failures = *rc::gen::inRange(0, 4); failures > 0; --failures) {
            table.onDispatched(index, startTime);
            table.onAttemptEnded(index, AttemptOutcome::Failed, startTime, random);
        }
    }
    return table;
}

// Returns all replicas that a chooser chooses, excluding those already chosen, until none is left.
// Asserts that it chooses none twice.
std::set<ReplicaIndex> choosePermitted(ChooserType type, const ReplicaTable &table,
                                       const RouterOptions &options)
{
    const auto chooser = ReplicaChooser::create(type);
    const RequestAttributes request = modelRequest();
    const auto *groups = table.groupsFor(request);
    std::vector<EndpointName> tried;
    std::set<ReplicaIndex> chosen;
    Random random(1);
    for (;;) {
        const ChoiceContext context(table, options, request, *groups, tried, startTime);
        const auto index = chooser->choose(context, random);
        if (!index)
            return chosen;
        RC_ASSERT(chosen.insert(*index).second);
        tried.push_back(table.replica(*index).m_name);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Choosers)

BOOST_AUTO_TEST_CASE(all_choosers_find_the_same_set_of_permitted_replicas)
{
    checkProperty("any table, with and without filters", [] {
        RouterOptions options;
        options.m_hasFilters = *rc::gen::arbitrary<bool>();
        const ReplicaTable table = drawTable(options, *rc::gen::inRange(2U, 20U));
        const auto powerOfChoices = choosePermitted(ChooserType::PowerOfChoices, table, options);
        RC_ASSERT(powerOfChoices == choosePermitted(ChooserType::RoundRobin, table, options));
        RC_ASSERT(powerOfChoices
                  == choosePermitted(ChooserType::LeastReportedLoad, table, options));
    });
}

BOOST_AUTO_TEST_CASE(entries_without_communication_send_a_prefix_to_the_same_replica)
{
    RouterOptions options;
    RequestAttributes request = modelRequest();
    request.m_prefixHash = 0xABCDEF;
    std::set<ReplicaIndex> chosen;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        ReplicaTable table(options);
        table.applyConfiguration(makeVersion(1, makeConfiguration(32)));
        for (unsigned number = 0; number < 32; ++number) {
            table.applyAnnouncement(makeAnnouncement(number, 1), startTime);
            table.recordReport(*table.find(endpointName(number)), {1, 0, 8, 100000}, startTime);
        }
        const ChoiceContext context(table, options, request, *table.groupsFor(request), {},
                                    startTime);
        Random random(seed);
        const auto chooser = ReplicaChooser::create(ChooserType::PowerOfChoices);
        chosen.insert(*chooser->choose(context, random));
    }
    BOOST_TEST(chosen.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_loaded_holder_of_the_prefix_is_avoided)
{
    RouterOptions options;
    ReplicaTable table(options);
    table.applyConfiguration(makeVersion(1, makeConfiguration(8)));
    for (unsigned number = 0; number < 8; ++number) {
        table.applyAnnouncement(makeAnnouncement(number, 1), startTime);
        const std::uint32_t running = number == 0 ? 8 : 1;
        table.recordReport(*table.find(endpointName(number)), {running, 0, 8, 100000}, startTime);
    }
    RequestAttributes request = modelRequest();
    request.m_prefixHash = 0xABCDEF;
    const ReplicaIndex holder = *table.find(endpointName(0));
    table.recordPrefix(holder, request.m_prefixHash, true);
    const ChoiceContext context(table, options, request, *table.groupsFor(request), {}, startTime);
    Random random(1);
    const auto chooser = ReplicaChooser::create(ChooserType::PowerOfChoices);
    BOOST_TEST((chooser->choose(context, random) != holder));
}

BOOST_AUTO_TEST_SUITE_END()
