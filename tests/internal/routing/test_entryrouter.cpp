#include "routingfixture.h"
#include <burdockhead/routing/entryrouter.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

constexpr unsigned endpoints = 6;

RouterOptions singleEntryOptions(ChooserType chooser = ChooserType::PowerOfChoices)
{
    RouterOptions options;
    options.m_entryCount = 1;
    options.m_chooser = chooser;
    options.m_hasColdFallback = false; // The reference model has no cold fallback.
    return options;
}

EntryRouter makeReadyRouter(const RouterOptions &options)
{
    EntryRouter router(options, Random(1));
    router.applyConfiguration(makeVersion(1, makeConfiguration(endpoints)));
    for (unsigned number = 0; number < endpoints; ++number) {
        router.applyAnnouncement(makeAnnouncement(number, 1), startTime);
        router.recordLoad(endpointName(number), {0, 0, 4, 1000, false, false}, startTime);
    }
    return router;
}

void takeOutAndBringBack(EntryRouter &router)
{
    Configuration out = makeConfiguration(endpoints);
    out.m_dataCentres[0].m_takenOut = true;
    router.applyConfiguration(makeVersion(2, out));
    router.applyConfiguration(makeVersion(3, makeConfiguration(endpoints)));
}

// Routes and sends some requests; returns how many were sent to the endpoint.
int sentTo(EntryRouter &router, const EndpointName &endpoint)
{
    int sent = 0;
    for (unsigned request = 0; request < 20; ++request) {
        const RouteDecision decision = router.route(modelRequest(), {}, startTime);
        if (!decision.m_target)
            continue;
        router.onDispatched(decision.m_target->m_endpoint, startTime);
        sent += decision.m_target->m_endpoint == endpoint ? 1 : 0;
    }
    return sent;
}

ErrorKind refusalKind(EntryRouter &router, const RequestAttributes &request,
                      TimePoint now = startTime)
{
    const RouteDecision decision = router.route(request, {}, now);
    return decision.m_refusal ? decision.m_refusal->m_kind : ErrorKind::Internal;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryRouters)

BOOST_AUTO_TEST_CASE(unknown_names_are_refused_with_their_error_kind)
{
    EntryRouter empty(singleEntryOptions(), Random(1));
    BOOST_TEST((refusalKind(empty, modelRequest()) == ErrorKind::NotReady));
    EntryRouter router = makeReadyRouter(singleEntryOptions());
    RequestAttributes request = modelRequest();
    request.m_workspace = WorkspaceName("stranger");
    BOOST_TEST((refusalKind(router, request) == ErrorKind::UnknownWorkspace));
    request = modelRequest();
    request.m_kind = KindName("poem");
    BOOST_TEST((refusalKind(router, request) == ErrorKind::UnknownKind));
    request = modelRequest();
    request.m_adapter = AdapterName("none");
    BOOST_TEST((refusalKind(router, request) == ErrorKind::UnknownModel));
}

BOOST_AUTO_TEST_CASE(a_refusal_has_a_reason_and_a_retry_time)
{
    EntryRouter router = makeReadyRouter(singleEntryOptions());
    RequestAttributes late = modelRequest();
    late.m_deadline = startTime;
    BOOST_TEST((refusalKind(router, late) == ErrorKind::DeadlineTooShort));
    for (unsigned sent = 0; sent < 100; ++sent) {
        const RouteDecision decision = router.route(modelRequest(), {}, startTime);
        if (decision.m_target)
            router.onDispatched(decision.m_target->m_endpoint, startTime);
        else
            BOOST_TEST((decision.m_refusal->m_retryAfter > startTime));
    }
    BOOST_TEST((refusalKind(router, modelRequest()) == ErrorKind::Overloaded));
    Configuration out = makeConfiguration(endpoints);
    for (DataCentre &dataCentre : out.m_dataCentres)
        dataCentre.m_takenOut = true;
    router.applyConfiguration(makeVersion(2, out));
    BOOST_TEST((refusalKind(router, modelRequest()) == ErrorKind::DataCentreOut));
}

BOOST_AUTO_TEST_CASE(an_outcome_of_an_earlier_incarnation_is_ignored)
{
    EntryRouter router = makeReadyRouter(singleEntryOptions());
    router.onDispatched(endpointName(0), startTime);
    router.applyAnnouncement(makeAnnouncement(0, 2), startTime);
    router.onDispatched(endpointName(0), startTime);
    router.onAttemptEnded(endpointName(0), AttemptOutcome::Failed,
                          LoadReport{9, 9, 9, 9, true, true}, startTime, Incarnation{1});
    const EndpointSnapshot snapshot = router.snapshot(startTime).front();
    BOOST_TEST(snapshot.m_localInFlight == 1U);
    BOOST_TEST((snapshot.m_report == LoadReport()));
}

BOOST_AUTO_TEST_CASE(a_replica_that_fails_immediately_does_not_attract_load)
{
    EntryRouter router = makeReadyRouter(singleEntryOptions());
    unsigned sentToFailing = 0;
    TimePoint now = startTime;
    for (unsigned sent = 0; sent < 300; ++sent) {
        now += Milliseconds(1);
        const RouteDecision decision = router.route(modelRequest(), {}, now);
        BOOST_REQUIRE(decision.m_target.has_value());
        const EndpointName endpoint = decision.m_target->m_endpoint;
        const bool failing = endpoint == endpointName(0);
        sentToFailing += failing ? 1 : 0;
        router.onDispatched(endpoint, now);
        router.onAttemptEnded(endpoint,
                              failing ? AttemptOutcome::Failed : AttemptOutcome::Completed,
                              LoadReport{0, 0, 4, 1000, false, false}, now);
    }
    BOOST_TEST(sentToFailing <= 3U);
}

BOOST_AUTO_TEST_CASE(a_recovering_data_centre_gets_a_growing_share)
{
    EntryRouter router = makeReadyRouter(singleEntryOptions(ChooserType::RoundRobin));
    takeOutAndBringBack(router);
    // e0 and e3 are in d0; only e0 is in the model's group. Each has a cold limit of 2.
    BOOST_TEST(sentTo(router, endpointName(0)) == 4);
    for (unsigned answer = 0; answer < 2; ++answer)
        router.onAttemptEnded(endpointName(0), AttemptOutcome::Completed, LoadReport{2, 0, 8, 1000},
                              startTime);
    BOOST_TEST(sentTo(router, endpointName(0)) == 4);
}

BOOST_AUTO_TEST_CASE(without_filters_a_recovering_data_centre_gets_full_load_at_once)
{
    RouterOptions options = singleEntryOptions(ChooserType::RoundRobin);
    options.m_hasFilters = false;
    EntryRouter router = makeReadyRouter(options);
    takeOutAndBringBack(router);
    BOOST_TEST(sentTo(router, endpointName(0)) > 4);
}

BOOST_AUTO_TEST_CASE(no_hedge_is_allowed_while_all_slots_are_in_use)
{
    EntryRouter router = makeReadyRouter(singleEntryOptions());
    router.route(modelRequest(), {}, startTime);
    BOOST_TEST(router.tryAcquireHedge(modelRequest(), startTime));
    for (unsigned report = 0; report < 100; ++report)
        router.recordLoad(endpointName(0), {4, 4, 4, 1000, false, false}, startTime);
    BOOST_TEST(!router.tryAcquireHedge(modelRequest(), startTime));
}

BOOST_AUTO_TEST_CASE(a_cold_endpoint_beyond_its_share_is_chosen_only_as_a_fallback)
{
    const auto routerWith = [](bool lastResort) {
        RouterOptions options = singleEntryOptions();
        options.m_hasColdFallback = lastResort;
        EntryRouter router = makeReadyRouter(options);
        for (unsigned number = 0; number < endpoints; ++number) {
            router.recordLoad(endpointName(number), {0, 0, 2, 1000, true, false}, startTime);
            for (unsigned sent = 0; sent < 2; ++sent)
                router.onDispatched(endpointName(number), startTime);
        }
        return router;
    };
    EntryRouter strict = routerWith(false);
    BOOST_TEST((refusalKind(strict, modelRequest()) == ErrorKind::EndpointCold));
    EntryRouter router = routerWith(true);
    BOOST_TEST(router.route(modelRequest(), {}, startTime).m_target.has_value());
    router.onAttemptEnded(endpointName(2), AttemptOutcome::Completed,
                          LoadReport{1, 0, 2, 1000, true}, startTime);
    for (int turn = 0; turn < 20; ++turn) {
        const RouteDecision decision = router.route(modelRequest(), {}, startTime);
        BOOST_REQUIRE(decision.m_target.has_value());
        BOOST_TEST(decision.m_target->m_endpoint.text() == endpointName(2).text());
    }
}

BOOST_AUTO_TEST_SUITE_END()
