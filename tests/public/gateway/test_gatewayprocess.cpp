#include "freeport.h"
#include "gatewayworld.h"
#include <burdockhead/http/httprequest.h>

#include <algorithm>
#include <csignal>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

void misbehave(std::vector<std::unique_ptr<EndpointStandIn>> &endpoints, Misbehaviour behaviour)
{
    for (const auto &endpoint : endpoints)
        endpoint->misbehave(behaviour);
}

const RanRequest &onlyRan(const GatewayWorld &world)
{
    for (const auto &endpoint : world.m_app) {
        if (!endpoint->ran().empty())
            return endpoint->ran().front();
    }
    throw std::runtime_error("no request ran");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Gateway, GatewayWorld)

BOOST_AUTO_TEST_CASE(an_answer_comes_back_as_the_endpoint_gave_it)
{
    start();
    const auto call = ask("POST", "/unsafe/pay?x=1");
    BOOST_TEST(call->status() == 200);
    BOOST_TEST(call->body().starts_with("answer of app-"));
    BOOST_TEST(call->header("X-Response-Seal").starts_with("seal.app-"));
    const RanRequest &ran = onlyRan(*this);
    const auto value = [&](const char *name) {
        return findHeader(ran.m_head.m_headers, name).value_or("none");
    };
    BOOST_TEST(ran.m_head.m_target == "/unsafe/pay?x=1");
    BOOST_TEST(ran.m_body == "body");
    BOOST_TEST(value("Authorization") == "none");
    BOOST_TEST(value("X-Tenant") == "w");
    BOOST_TEST(value("X-Model") == "m");
    BOOST_TEST(std::stoi(value("X-Deadline-Ms")) <= 2000);
}

BOOST_AUTO_TEST_CASE(a_stream_that_breaks_goes_on_at_another_endpoint_without_a_gap)
{
    start();
    m_llm[0]->misbehave(Misbehaviour::BreakStream);
    for (int count = 0; count < 4; ++count) {
        const auto call = ask("POST", "/stream/x");
        BOOST_TEST(call->isWhole());
        BOOST_TEST(call->body() == EndpointStandIn::events(1, EndpointStandIn::lastEvent));
    }
    BOOST_TEST(!m_llm[0]->ran().empty());
}

BOOST_AUTO_TEST_CASE(a_stream_that_may_not_be_resumed_ends_when_it_breaks)
{
    start();
    misbehave(m_llm, Misbehaviour::BreakStream);
    const auto call = ask("POST", "/stream/once/x");
    BOOST_TEST(!call->isWhole());
    BOOST_TEST(call->body() == EndpointStandIn::events(1, 3));
    BOOST_TEST(ranOf("llm") == 1U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_lacks_an_event_never_looks_complete)
{
    start();
    misbehave(m_llm, Misbehaviour::SkipEvent);
    const auto call = ask("POST", "/stream/x");
    BOOST_TEST(!call->isWhole());
    BOOST_TEST(call->body() == EndpointStandIn::events(1, 2));
}

// The load pattern of a group that refuses everything for seconds: clients of streams leave after
// two without an event and then ask no more.
BOOST_AUTO_TEST_CASE(streams_that_wait_are_told_to_come_back_before_their_clients_leave)
{
    constexpr Milliseconds patience{2000};
    constexpr std::size_t streams = 16;
    start();
    misbehave(m_llm, Misbehaviour::Refuse);
    const TimePoint sent = Clock::now();
    std::vector<std::unique_ptr<ClientCall>> waiting;
    for (std::size_t stream = 0; stream < streams; ++stream)
        waiting.push_back(call("POST", "/stream/a"));
    await([&] {
        return std::all_of(waiting.begin(), waiting.end(),
                           [](const auto &call) { return call->isOver(); });
    });
    BOOST_TEST((Clock::now() - sent < patience - Milliseconds(100)));
    for (const auto &call : waiting) {
        BOOST_TEST(call->status() == 503);
        BOOST_TEST(!call->header("Retry-After").empty());
    }
}

BOOST_AUTO_TEST_CASE(what_may_run_once_is_not_repeated_when_its_answer_is_lost)
{
    start();
    misbehave(m_app, Misbehaviour::LoseAnswer);
    const auto call = ask("POST", "/unsafe/pay");
    BOOST_TEST(call->status() == 502);
    BOOST_TEST(call->header("Retry-After") == "");
    BOOST_TEST(ranOf("app") == 1U);
}

BOOST_AUTO_TEST_CASE(what_may_run_once_is_refused_with_a_time_when_it_has_not_run)
{
    start();
    misbehave(m_app, Misbehaviour::Refuse);
    const auto call = ask("POST", "/unsafe/pay");
    BOOST_TEST(call->status() == 503);
    BOOST_TEST(std::stod(call->header("Retry-After")) > 0);
    BOOST_TEST(ranOf("app") == 0U);
}

BOOST_AUTO_TEST_CASE(a_repeatable_request_is_tried_again_after_each_kind_of_failure)
{
    for (const Misbehaviour behaviour : {Misbehaviour::Refuse, Misbehaviour::LoseAnswer,
                                         Misbehaviour::Foreign, Misbehaviour::Fail}) {
        GatewayWorld world;
        world.start();
        world.m_app[0]->misbehave(behaviour);
        for (int count = 0; count < 4; ++count) {
            const auto call = world.ask("GET", "/safe/x");
            BOOST_TEST(call->status() == 200);
            BOOST_TEST(call->body() == "answer of app-2");
        }
    }
}

// After a lost answer, the endpoints that are left can't be reached.
BOOST_AUTO_TEST_CASE(a_request_that_has_run_is_never_refused_as_not_run)
{
    start();
    m_store.remove("servers", m_app[1]->id());
    m_app[0]->misbehave(Misbehaviour::LoseAnswer);
    for (int number = 0; number < 6; ++number) {
        std::string entry = m_app[1]->entry();
        const std::string reachable = m_app[1]->address().toString();
        entry.replace(entry.find(reachable), reachable.size(), freeLoopbackAddress().toString());
        m_store.put("servers", "dead-" + std::to_string(number), entry);
    }
    pass(Milliseconds(2000));
    for (int count = 0; count < 20; ++count) {
        const std::size_t before = m_app[0]->ran().size();
        const auto call = ask("GET", "/safe/x");
        BOOST_TEST((call->status() != 503 || m_app[0]->ran().size() == before));
    }
}

BOOST_AUTO_TEST_CASE(the_answer_to_another_request_is_passed_to_nobody)
{
    start();
    misbehave(m_app, Misbehaviour::Foreign);
    BOOST_TEST(ask("POST", "/unsafe/pay")->status() == 502);
    BOOST_TEST(ask("GET", "/safe/x")->status() == 502);
}

BOOST_AUTO_TEST_CASE(an_address_that_another_endpoint_has_now_runs_nothing)
{
    start();
    m_app[0]->replaceBy("other-1");
    for (int count = 0; count < 4; ++count)
        BOOST_TEST(ask("GET", "/safe/x")->status() == 200);
    BOOST_TEST(m_app[0]->ran().empty());
}

BOOST_AUTO_TEST_CASE(requests_that_the_configuration_does_not_allow_are_refused)
{
    start();
    BOOST_TEST(ask("GET", "/nowhere/")->status() == 404);
    BOOST_TEST(ask("GET", "/safe/x", "stolen")->status() == 401);
    BOOST_TEST(ranOf("app") == 0U);
}

BOOST_AUTO_TEST_CASE(before_the_first_configuration_nothing_is_served)
{
    startGateway();
    for (int tries = 0; tries < 200 && readiness() == 0; ++tries)
        pass(Milliseconds(20));
    BOOST_TEST(readiness() == 503);
    const auto call = ask("GET", "/safe/x");
    BOOST_TEST(call->status() == 503);
    BOOST_TEST(call->header("Retry-After") != "");
    BOOST_TEST(addresses() == "");
}

BOOST_AUTO_TEST_CASE(a_request_that_its_endpoint_holds_ends_at_its_deadline)
{
    start();
    misbehave(m_app, Misbehaviour::Hang);
    const TimePoint before = Clock::now();
    const auto call = ask("POST", "/unsafe/pay", "key", Milliseconds(400));
    BOOST_TEST(call->status() == 504);
    BOOST_TEST((Clock::now() - before < Milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(an_endpoint_stops_when_the_client_leaves)
{
    start();
    misbehave(m_app, Misbehaviour::Hang);
    const auto made = call("POST", "/unsafe/pay");
    await([&] { return ranOf("app") == 1; });
    made->leave();
    const TimePoint left = Clock::now();
    await([&] { return m_app[0]->clientsGone() + m_app[1]->clientsGone() == 1; });
    BOOST_TEST((Clock::now() - left < Milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(a_credential_that_is_taken_away_ends_within_the_bound)
{
    start();
    m_store.put("config", "main", configuration(9, "fresh"));
    const TimePoint changed = Clock::now();
    while (ask("GET", "/safe/x", "key")->status() != 401)
        BOOST_REQUIRE((Clock::now() - changed < Seconds(2)));
    BOOST_TEST(ask("GET", "/safe/x", "fresh")->status() == 200);
}

// platform_compact of the users' sites: a change that no watch hears, then the history goes,
// and the next watch from before is left waiting.
BOOST_AUTO_TEST_CASE(a_change_behind_a_forgotten_history_is_in_force_within_the_bound)
{
    start();
    m_store.setDeaf(true);
    m_store.put("config", "main", configuration(9, "fresh"));
    pass(Milliseconds(300));
    m_store.setDeaf(false);
    m_store.forgetHistory();
    const TimePoint back = Clock::now();
    while (ask("GET", "/safe/x", "key")->status() != 401)
        BOOST_REQUIRE((Clock::now() - back < Seconds(2)));
}

BOOST_AUTO_TEST_CASE(an_older_configuration_never_comes_back)
{
    start();
    m_store.put("config", "main", configuration(9, "fresh"));
    while (ask("GET", "/safe/x", "fresh")->status() != 200)
        pass(Milliseconds(10));
    m_store.put("config", "main", configuration(3));
    pass(Milliseconds(200));
    BOOST_TEST(ask("GET", "/safe/x", "key")->status() == 401);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_leaves_gets_nothing_new)
{
    start();
    m_store.put("servers", m_app[0]->id(), m_app[0]->entry("draining"));
    pass(Milliseconds(200));
    for (int count = 0; count < 6; ++count)
        BOOST_TEST(ask("GET", "/safe/x")->body() == "answer of app-2");
}

BOOST_AUTO_TEST_CASE(entries_that_lapse_while_the_store_is_away_are_bridged)
{
    start();
    for (const auto &endpoint : m_app)
        m_store.remove("servers", endpoint->id());
    for (int count = 0; count < 5; ++count) {
        BOOST_TEST(ask("GET", "/safe/x")->status() == 200);
        pass(Milliseconds(100));
    }
    for (const auto &endpoint : m_app)
        m_store.put("servers", endpoint->id(), endpoint->entry());
    pass(Milliseconds(2200));
    BOOST_TEST(ask("GET", "/safe/x")->status() == 200);
}

BOOST_AUTO_TEST_CASE(an_entry_that_is_gone_for_good_gets_nothing_after_the_bound)
{
    start();
    m_store.remove("servers", m_app[0]->id());
    pass(Milliseconds(2000));
    for (int count = 0; count < 6; ++count)
        BOOST_TEST(ask("GET", "/safe/x")->body() == "answer of app-2");
}

BOOST_AUTO_TEST_CASE(a_data_centre_that_is_out_gets_nothing_until_it_is_back)
{
    start();
    m_store.put("evacuations", "a", "{}");
    pass(Milliseconds(200));
    BOOST_TEST(ask("GET", "/safe/x")->status() == 503);
    m_store.remove("evacuations", "a");
    pass(Milliseconds(200));
    BOOST_TEST(ask("GET", "/safe/x")->status() == 200);
}

BOOST_AUTO_TEST_CASE(a_collection_that_cannot_be_read_keeps_no_change_of_another_back)
{
    start();
    m_store.spoil("evacuations");
    // Cuts the watches; the second time the one that is spoilt has failed already.
    m_store.forgetHistory();
    pass(Milliseconds(500));
    m_store.forgetHistory();
    m_store.put("config", "main", configuration(9, "fresh"));
    pass(Seconds(2));
    BOOST_TEST(ask("GET", "/safe/x", "fresh")->status() == 200);
}

BOOST_AUTO_TEST_CASE(an_outage_of_the_store_stops_no_request_and_costs_few_calls)
{
    start();
    m_store.setRefusal(503);
    pass(Milliseconds(100));
    const std::size_t before = m_store.calls();
    for (int count = 0; count < 20; ++count) {
        BOOST_TEST(ask("GET", "/safe/x")->status() == 200);
        pass(Milliseconds(100));
    }
    BOOST_TEST(m_store.calls() - before < 30U);
    m_store.setRefusal(0);
    m_store.put("config", "main", configuration(9, "fresh"));
    const TimePoint back = Clock::now();
    while (ask("GET", "/safe/x", "fresh")->status() != 200)
        BOOST_REQUIRE((Clock::now() - back < Seconds(2)));
}

BOOST_AUTO_TEST_CASE(a_stop_cuts_off_no_request_and_takes_the_gateway_out_of_the_directory)
{
    start();
    BOOST_TEST(addresses().find(m_clients.toString()) != std::string::npos);
    for (const auto &endpoint : m_llm)
        endpoint->setDelay(Milliseconds(100));
    const auto made = call("POST", "/stream/x");
    await([&] { return ranOf("llm") == 1; });
    m_gateway->signal(SIGTERM);
    while (readiness() == 200)
        pass(Milliseconds(10));
    BOOST_TEST(addresses() == "");
    const auto late = ask("GET", "/safe/x");
    BOOST_TEST(late->status() == 200);
    BOOST_TEST(late->header("Connection") == "close");
    await([&] { return made->isOver(); });
    BOOST_TEST(made->isWhole());
    BOOST_TEST(made->body() == EndpointStandIn::events(1, EndpointStandIn::lastEvent));
    const TimePoint asked = Clock::now();
    BOOST_TEST(m_gateway->wait() == 0);
    BOOST_TEST((Clock::now() - asked < Seconds(6)));
}

// A stream that comes late in a stop might be cut off by its end.
BOOST_AUTO_TEST_CASE(a_request_that_comes_late_in_a_stop_is_refused_without_having_run)
{
    start();
    m_gateway->signal(SIGTERM);
    pass(Milliseconds(2100));
    const auto late = ask("POST", "/stream/x");
    BOOST_TEST(late->status() == 503);
    BOOST_TEST(std::stod(late->header("Retry-After")) > 0);
    BOOST_TEST(ranOf("llm") == 0U);
}

BOOST_AUTO_TEST_CASE(a_reload_of_settings_that_cannot_be_read_changes_nothing)
{
    start();
    m_gateway->signal(SIGHUP);
    BOOST_TEST(ask("GET", "/safe/x")->status() == 200);
    BOOST_TEST(m_gateway->running());
}

BOOST_AUTO_TEST_SUITE_END()
