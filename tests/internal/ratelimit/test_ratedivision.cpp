#include "property.h"
#include <burdockhead/ratelimit/ratedivision.h>

#include <cmath>

using namespace burdockhead;

namespace {

const EndpointName endpoint("e1");

std::vector<GatewayDemand> makeDemand(const std::vector<double> &requests)
{
    std::vector<GatewayDemand> demand;
    for (std::size_t number = 0; number < requests.size(); ++number)
        demand.push_back({ProcessName("g" + std::to_string(number)), requests[number]});
    return demand;
}

// Returns the parts of all gateways, each of which knows the demand of all.
std::vector<RequestPace> parts(double rate, const std::vector<double> &requests)
{
    const std::vector<GatewayDemand> demand = makeDemand(requests);
    std::vector<RequestPace> paces;
    for (std::size_t local = 0; local < demand.size(); ++local) {
        std::vector<GatewayDemand> others = demand;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(local));
        paces.push_back(RateDivision(demand[local], others).localPart(rate, endpoint));
    }
    return paces;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Division)

BOOST_AUTO_TEST_CASE(parts_follow_demand)
{
    const auto paces = parts(20, {30, 10, 0});
    BOOST_TEST(paces[0].m_requestsPerSecond == 15);
    BOOST_TEST(paces[1].m_requestsPerSecond == 5);
    BOOST_TEST(paces[2].m_requestsPerSecond == 0);
}

BOOST_AUTO_TEST_CASE(nine_gateways_share_a_rate_of_little_more_than_one)
{
    const auto paces = parts(1.3, std::vector<double>(9, 50));
    for (const RequestPace &pace : paces) {
        BOOST_TEST(pace.m_requestsPerSecond > 0);
        BOOST_TEST(pace.m_capacity == 1);
    }
}

BOOST_AUTO_TEST_CASE(few_of_many_gateways_use_an_endpoint)
{
    std::size_t users = 0;
    for (const RequestPace &pace : parts(20, std::vector<double>(330, 5)))
        users += pace.m_requestsPerSecond > 0 ? 1 : 0;
    BOOST_TEST(users > 20U);
    BOOST_TEST(users <= 123U);
}

BOOST_AUTO_TEST_CASE(the_gateway_with_the_most_demand_is_never_left_out)
{
    std::vector<double> requests(330, 1);
    for (std::size_t busy = 0; busy < requests.size(); busy += 30) {
        requests[busy] = 400;
        BOOST_TEST(parts(1, requests)[busy].m_requestsPerSecond > 0);
        requests[busy] = 1;
    }
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_takes_nothing_is_asked_now_and_then)
{
    double total = 0;
    for (const RequestPace &pace : parts(0, std::vector<double>(9, 50)))
        total += pace.m_requestsPerSecond;
    BOOST_TEST(total > 0);
    BOOST_TEST(total <= 0.11);
}

BOOST_AUTO_TEST_CASE(parts_add_up_to_no_more_than_the_rate)
{
    checkProperty("parts", [] {
        const double rate = *rc::gen::inRange(10, 50000) / 100.0;
        const auto requests = *rc::gen::nonEmpty(rc::gen::container<std::vector<double>>(
            rc::gen::map(rc::gen::inRange(0, 500), [](int value) { return value / 2.0; })));
        double total = 0;
        double mostInWindow = 0;
        for (const RequestPace &pace : parts(rate, requests)) {
            total += pace.m_requestsPerSecond;
            if (pace.m_requestsPerSecond > 0)
                mostInWindow += std::floor(pace.m_capacity + 4 * pace.m_requestsPerSecond);
        }
        RC_ASSERT(total <= rate + 1e-6);
        RC_ASSERT(mostInWindow <= 6 * rate + 3 + 1e-6);
    });
}

BOOST_AUTO_TEST_SUITE_END()
