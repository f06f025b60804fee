#include <burdockhead/gateway/endpointtable.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

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

// A fleet before the engines of a group of which a data centre is out: streams arrive at random
// gateways at random times and last about a second. Counts those that find their engine's batch
// full although others have room, and so wait there.
class FleetReplay
{
public:
    explicit FleetReplay(bool isDivided)
        : m_isDivided(isDivided)
    {
        for (std::size_t gateway = 0; gateway < gateways; ++gateway)
            m_tables.push_back(tableOf(engines, gateway + 1));
    }

    // The part of the streams that wait.
    double run()
    {
        constexpr std::size_t streams = 20000;
        constexpr double betweenArrivals = 1.0 / 300;
        std::exponential_distribution<double> pause(1 / betweenArrivals);
        std::uniform_real_distribution<double> length(0.5, 1.5);
        std::size_t waited = 0;
        double now = 0;
        for (std::size_t stream = 0; stream < streams; ++stream) {
            now += pause(m_random);
            for (; !m_ends.empty() && m_ends.begin()->first <= now; m_ends.erase(m_ends.begin()))
                m_ends.begin()->second();
            waited += begin(m_random() % gateways, now, now + length(m_random)) ? 1 : 0;
        }
        return static_cast<double>(waited) / streams;
    }

private:
    static constexpr std::size_t gateways = 44;
    static constexpr int engines = 48;
    static constexpr int batch = 10;

    bool begin(std::size_t gateway, double now, double end)
    {
        EndpointTable &table = m_tables[gateway];
        EndpointCriteria request = {service, 1, {}, {}};
        if (m_isDivided)
            request.m_position = GatewayPosition{gateway, gateways};
        const TimePoint at =
            start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(now));
        const auto endpoint = table.select(request, at);
        table.onRequestSent(*endpoint, at);
        int &running = m_running[endpoint->m_entry.m_name];
        m_ends.emplace(end, [&table, &running, endpoint] {
            table.onRequestEnded(*endpoint);
            --running;
        });
        return ++running > batch;
    }

    bool m_isDivided;
    Random m_random{3};
    std::vector<EndpointTable> m_tables;
    std::map<EndpointName, int> m_running;
    std::multimap<double, std::function<void()>> m_ends;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Endpoints)

// The load pattern of ranks in lock-step: the fullest rank sets the pace of all.
BOOST_AUTO_TEST_CASE(a_gateway_fills_all_endpoints_alike)
{
    EndpointTable table = tableOf(16);
    for (int request = 0; request < 160; ++request)
        table.onRequestSent(*table.select({service, 0, {}}, start), start);
    for (const auto &[name, endpoint] : table.endpoints())
        BOOST_TEST(endpoint->m_inFlight == 10U);
}

BOOST_AUTO_TEST_CASE(gateways_do_not_agree_on_one_endpoint)
{
    std::map<EndpointName, unsigned> chosen;
    for (std::uint64_t seed = 1; seed <= 90; ++seed) {
        EndpointTable table = tableOf(16, seed);
        ++chosen[table.select({service, 0, {}}, start)->m_entry.m_name];
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
        BOOST_TEST(table.select({service, 0, {}}, start)->m_entry.m_name.text() == "e2");
    BOOST_TEST(table.usableCount(service, start) == 1U);
    BOOST_TEST(table.usableSlots(service, start) == slots);

    EndpointTable other = tableOf(0);
    other.update(later);
    other.update(entry(1));
    BOOST_TEST(other.select({service, 0, {}}, start)->m_entry.m_name.text() == "e2");
}

// The load pattern of a large fleet before engines that are two thirds full.
BOOST_AUTO_TEST_CASE(gateways_that_divide_the_engines_let_few_streams_wait_at_full_ones)
{
    const double ours = FleetReplay(true).run();
    const double naive = FleetReplay(false).run();
    BOOST_TEST(ours * 3 < naive, ours << " of the streams wait, undivided " << naive);
}

BOOST_AUTO_TEST_CASE(what_leaves_is_out_of_service_or_was_tried_is_not_chosen)
{
    EndpointTable table = tableOf(2);
    table.update(entry(3, "b"));
    EndpointEntry leaving = entry(1);
    leaving.m_isLeaving = true;
    table.update(leaving);
    table.setDataCentreOut(DataCentreName("b"), true);
    const auto chosen = table.select({service, 0, {}}, start);
    BOOST_REQUIRE(chosen);
    BOOST_TEST(chosen->m_entry.m_name.text() == "e2");
    BOOST_TEST(!table.select({service, 0, {EndpointName("e2")}}, start));
    table.setDataCentreOut(DataCentreName("b"), false);
    BOOST_TEST(table.select({service, 0, {EndpointName("e2")}}, start)->m_entry.m_name.text()
               == "e3");
}

BOOST_AUTO_TEST_CASE(an_entry_that_is_gone_is_used_until_its_time_and_then_dropped)
{
    EndpointTable table = tableOf(1);
    table.remove(EndpointName("e1"), start + Milliseconds(1500));
    BOOST_TEST(table.select({service, 0, {}}, start + Milliseconds(1499)));
    BOOST_TEST(!table.select({service, 0, {}}, start + Milliseconds(1500)));
    table.removeExpired(start + Milliseconds(1500));
    BOOST_TEST(table.endpoints().empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_comes_back_in_time_stays)
{
    EndpointTable table = tableOf(1);
    table.remove(EndpointName("e1"), start + Milliseconds(1500));
    BOOST_TEST(!table.update(entry(1)));
    BOOST_TEST(table.select({service, 0, {}}, start + Milliseconds(9000)));
}

// The load pattern of an endpoint that starts again cold in the midst of a burst.
BOOST_AUTO_TEST_CASE(the_bound_on_arrivals_holds_over_a_restart)
{
    constexpr std::size_t limit = 6;
    EndpointTable table = tableOf(1);
    for (std::size_t sent = 0; sent < limit; ++sent)
        table.onRequestSent(*table.select({service, limit, {}}, start), start);
    EndpointEntry again = entry(1);
    again.m_startedAt = 2;
    BOOST_TEST(table.update(again));
    BOOST_TEST(!table.select({service, limit, {}}, start + Milliseconds(900)));
    BOOST_TEST(table.select({service, limit, {}}, start + Milliseconds(1000)));
}

// The load pattern of an endpoint that fails part of its requests in good health.
BOOST_AUTO_TEST_CASE(an_endpoint_that_fails_often_gets_less)
{
    EndpointTable table = tableOf(4);
    const auto failing = table.find(EndpointName("e1"));
    unsigned toFailing = 0;
    for (int request = 0; request < 200; ++request) {
        const auto chosen = table.select({service, 0, {}}, start);
        table.onRequestSent(*chosen, start);
        table.onRequestEnded(*chosen);
        const bool fails = chosen == failing && request % 2 == 0;
        toFailing += chosen == failing ? 1 : 0;
        if (fails)
            chosen->m_breaker.recordFailure(start);
        else
            chosen->m_breaker.recordSuccess();
    }
    BOOST_TEST(toFailing < 25U);
}

BOOST_AUTO_TEST_SUITE_END()
