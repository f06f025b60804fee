#include <burdockhead/base/random.h>
#include <burdockhead/gateway/servicecapacity.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <vector>

using namespace burdockhead;

namespace {

constexpr double serviceRequests = 144;

// Returns the shares of gateways that know the requests of all others.
std::vector<double> shares(const std::vector<double> &requests)
{
    const double total = std::accumulate(requests.begin(), requests.end(), 0.0);
    std::vector<double> result;
    for (const double own : requests) {
        ServiceCapacity capacity;
        capacity.m_gateways = requests.size();
        capacity.m_requestsElsewhere = total - own;
        result.push_back(concurrencyShare(serviceRequests, capacity, own));
    }
    return result;
}

double sum(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

// Simulates streams of 1.5 s that arrive at six gateways, of which two have half of the clients.
// Returns the mean number of places that are free while streams wait.
double meanIdleWhileWaiting(bool isByRequests)
{
    constexpr std::size_t gateways = 6;
    constexpr int sliceMilliseconds = 100;
    constexpr double streamMilliseconds = 1500;
    const std::vector<double> arrivalsPerSlice = {2.5, 2.5, 1.25, 1.25, 1.25, 1.25};
    Random random(1);
    std::vector<double> running(gateways, 0);
    std::vector<double> waiting(gateways, 0);
    double idle = 0;
    constexpr int slices = 600;
    for (int slice = 0; slice < slices; ++slice) {
        std::vector<double> requests;
        for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
            waiting[gateway] += std::poisson_distribution<int>(arrivalsPerSlice[gateway])(random);
            running[gateway] -= running[gateway] * sliceMilliseconds / streamMilliseconds;
            requests.push_back(running[gateway] + waiting[gateway]);
        }
        const std::vector<double> limits =
            isByRequests ? shares(requests)
                         : std::vector<double>(gateways, serviceRequests / gateways);
        for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
            const double started =
                std::clamp(limits[gateway] - running[gateway], 0.0, waiting[gateway]);
            running[gateway] += started;
            waiting[gateway] -= started;
        }
        idle += std::min(std::max(serviceRequests - sum(running), 0.0), sum(waiting));
    }
    return idle / slices;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Capacity)

BOOST_AUTO_TEST_CASE(shares_add_up_to_what_the_service_can_take)
{
    Random random(1);
    std::uniform_real_distribution<double> requests(0, 60);
    for (int round = 0; round < 100; ++round) {
        std::vector<double> own(6);
        std::generate(own.begin(), own.end(), [&] { return requests(random); });
        BOOST_TEST(std::abs(sum(shares(own)) - serviceRequests) < 1e-6);
    }
}

BOOST_AUTO_TEST_CASE(a_gateway_with_more_requests_has_the_larger_share)
{
    const auto crowded = shares({100, 50, 50});
    BOOST_TEST(std::abs(crowded[0] - 72) < 1e-6);
    BOOST_TEST(std::abs(crowded[1] - 36) < 1e-6);
    const auto free = shares({60, 20, 4});
    BOOST_TEST(std::abs(free[0] - 80) < 1e-6);
    BOOST_TEST(std::abs(free[2] - 24) < 1e-6);
}

BOOST_AUTO_TEST_CASE(gateways_that_report_nothing_get_equal_parts)
{
    for (const double own : {0.0, 10.0, 90.0}) {
        ServiceCapacity capacity;
        capacity.m_gateways = 6;
        capacity.m_unknownGateways = 5;
        BOOST_TEST(std::abs(concurrencyShare(serviceRequests, capacity, own) - 24) < 1e-6);
    }
}

// Clients choose gateways at random and keep their connections, so that their load is uneven.
BOOST_AUTO_TEST_CASE(with_uneven_load_no_place_is_free_while_requests_wait)
{
    const double byRequests = meanIdleWhileWaiting(true);
    const double equal = meanIdleWhileWaiting(false);
    BOOST_TEST(byRequests < 1);
    BOOST_TEST(equal > 10, equal << " places free with equal shares, " << byRequests);
}

BOOST_AUTO_TEST_SUITE_END()
