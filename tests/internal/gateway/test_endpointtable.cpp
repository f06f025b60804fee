#include <burdockhead/gateway/endpointtable.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace burdockhead;

namespace {

constexpr unsigned slots = 12;
const GroupName service("llm");
const TimePoint start{Seconds(100)};

EndpointEntry entry(int number, const std::string &dataCentre = "a")
{
    EndpointEntry entry;
    entry.m_name = EndpointName("e" + std::to_string(number));
    entry.m_service = service;
    entry.m_address = {"10.0.0." + std::to_string(number), 80};
    entry.m_dataCentre = DataCentreName(dataCentre);
    entry.m_slots = slots;
    entry.m_startedAt = 1;
    return entry;
}

EndpointTable tableOf(int count, std::uint64_t seed = 1)
{
    EndpointTable table{Random(seed)};
    for (int number = 1; number <= count; ++number)
        table.update(entry(number));
    return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Endpoints)

// The load pattern of ranks in lock-step: the fullest rank sets the pace of all.
BOOST_AUTO_TEST_CASE(a_gateway_fills_all_endpoints_alike)
{
    EndpointTable table = tableOf(16);
    for (int request = 0; request < 160; ++request)
        table.noteSent(*table.choose({service, 0, {}}, start), start);
    for (const auto &[name, endpoint] : table.endpoints())
        BOOST_TEST(endpoint->m_inFlight == 10U);
}

BOOST_AUTO_TEST_CASE(gateways_do_not_agree_on_one_endpoint)
{
    std::map<EndpointName, unsigned> chosen;
    for (std::uint64_t seed = 1; seed <= 90; ++seed) {
        EndpointTable table = tableOf(16, seed);
        ++chosen[table.choose({service, 0, {}}, start)->m_entry.m_name];
    }
    for (const auto &[name, count] : chosen)
        BOOST_TEST(count < 20U);
}

// The load pattern after a loss of power: discovery still lists the endpoints from before it.
BOOST_AUTO_TEST_CASE(an_endpoint_at_whose_address_a_later_one_started_is_not_chosen)
{
    EndpointTable table = tableOf(1);
    EndpointEntry later = entry(2);
    later.m_address = entry(1).m_address;
    later.m_startedAt = 2;
    table.update(later);
    table.update(entry(1));
    for (int request = 0; request < 20; ++request)
        BOOST_TEST(table.choose({service, 0, {}}, start)->m_entry.m_name.text() == "e2");
    BOOST_TEST(table.usableCount(service, start) == 1U);
    BOOST_TEST(table.slots(service, start) == slots);

    EndpointTable other = tableOf(0);
    other.update(later);
    other.update(entry(1));
    BOOST_TEST(other.choose({service, 0, {}}, start)->m_entry.m_name.text() == "e2");
}

BOOST_AUTO_TEST_CASE(what_leaves_is_out_of_service_or_was_tried_is_not_chosen)
{
    EndpointTable table = tableOf(2);
    table.update(entry(3, "b"));
    EndpointEntry leaving = entry(1);
    leaving.m_isLeaving = true;
    table.update(leaving);
    table.setDataCentreOut(DataCentreName("b"), true);
    const auto chosen = table.choose({service, 0, {}}, start);
    BOOST_REQUIRE(chosen);
    BOOST_TEST(chosen->m_entry.m_name.text() == "e2");
    BOOST_TEST(!table.choose({service, 0, {EndpointName("e2")}}, start));
    table.setDataCentreOut(DataCentreName("b"), false);
    BOOST_TEST(table.choose({service, 0, {EndpointName("e2")}}, start)->m_entry.m_name.text()
               == "e3");
}

BOOST_AUTO_TEST_CASE(an_entry_that_is_gone_is_used_until_its_time_and_then_dropped)
{
    EndpointTable table = tableOf(1);
    table.remove(EndpointName("e1"), start + Milliseconds(1500));
    BOOST_TEST(table.choose({service, 0, {}}, start + Milliseconds(1499)));
    BOOST_TEST(!table.choose({service, 0, {}}, start + Milliseconds(1500)));
    table.dropGone(start + Milliseconds(1500));
    BOOST_TEST(table.endpoints().empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_comes_back_in_time_stays)
{
    EndpointTable table = tableOf(1);
    table.remove(EndpointName("e1"), start + Milliseconds(1500));
    BOOST_TEST(!table.update(entry(1)));
    BOOST_TEST(table.choose({service, 0, {}}, start + Milliseconds(9000)));
}

// The load pattern of an endpoint that starts again cold in the midst of a burst.
BOOST_AUTO_TEST_CASE(the_bound_on_arrivals_holds_over_a_restart)
{
    constexpr std::size_t limit = 6;
    EndpointTable table = tableOf(1);
    for (std::size_t sent = 0; sent < limit; ++sent)
        table.noteSent(*table.choose({service, limit, {}}, start), start);
    EndpointEntry again = entry(1);
    again.m_startedAt = 2;
    BOOST_TEST(table.update(again));
    BOOST_TEST(!table.choose({service, limit, {}}, start + Milliseconds(900)));
    BOOST_TEST(table.choose({service, limit, {}}, start + Milliseconds(1000)));
}

// The load pattern of an endpoint that fails part of its requests in good health.
BOOST_AUTO_TEST_CASE(an_endpoint_that_fails_often_gets_less)
{
    EndpointTable table = tableOf(4);
    const auto failing = table.find(EndpointName("e1"));
    unsigned toFailing = 0;
    for (int request = 0; request < 200; ++request) {
        const auto chosen = table.choose({service, 0, {}}, start);
        table.noteSent(*chosen, start);
        table.noteEnded(*chosen);
        const bool fails = chosen == failing && request % 2 == 0;
        toFailing += chosen == failing ? 1 : 0;
        if (fails)
            chosen->m_breaker.noteFailure(start);
        else
            chosen->m_breaker.noteSuccess();
    }
    BOOST_TEST(toFailing < 25U);
}

BOOST_AUTO_TEST_SUITE_END()
