#include "naiveretrylimit.h"
#include "property.h"
#include "retrysimulation.h"

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

constexpr int seeds = 5;

// The limit that gateways use.
class BudgetRetryLimit : public RetryLimit
{
public:
    explicit BudgetRetryLimit(const ServiceRetryBudgetOptions &options)
        : m_window(options.m_window)
        , m_budget(options)
    {}

    void recordRequest(TimePoint now) override { m_budget.recordRequest(now); }
    void end(TimePoint now) override { m_budget.end(now); }

    bool tryBegin(const PeerTable &peers, TimePoint now) override
    {
        return m_budget.tryBegin(peers.shareOfLimit(m_window, now), now);
    }

private:
    const Milliseconds m_window;
    ServiceRetryBudget m_budget;
};

template <typename Limit>
std::optional<BudgetWindow> brokenWindow(const RetryScenario &scenario, std::uint64_t seed)
{
    RetrySimulation simulation(
        scenario, [&] { return std::make_unique<Limit>(scenario.m_budget); }, seed);
    simulation.run();
    return simulation.findBrokenWindow();
}

// Checks that gateways stay within the budget, and that the naive limit doesn't in some run.
void checkScenario(const RetryScenario &scenario)
{
    bool isNaiveBroken = false;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto broken = brokenWindow<BudgetRetryLimit>(scenario, seed);
        BOOST_TEST(!broken.has_value(), "seed " << seed << ": " << (broken ? broken->m_retries : 0)
                                                << " retries, allowed "
                                                << (broken ? broken->m_allowed : 0));
        isNaiveBroken = isNaiveBroken || brokenWindow<NaiveRetryLimit>(scenario, seed).has_value();
    }
    BOOST_TEST(isNaiveBroken);
}

TimePoint at(double seconds)
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

// Draws faults of all kinds, which overlap and come again.
RetryScenario drawScenario()
{
    const auto time = [] { return at(*rc::gen::inRange(1150, 1400) / 10.0); };
    const auto span = [&](int maxTenths) {
        const TimePoint from = time();
        return TimeSpan{from, from + Milliseconds(100 * *rc::gen::inRange(1, maxTenths))};
    };
    RetryScenario scenario;
    scenario.m_gateways =
        *rc::gen::weightedElement<std::size_t>({{8, 2}, {8, 6}, {8, 9}, {4, 44}, {1, 330}});
    scenario.m_requestsPerSecond = *rc::gen::inRange(20, 400);
    scenario.m_failureRate = *rc::gen::inRange(0, 11) / 10.0;
    scenario.m_budget.m_burst = *rc::gen::inRange(0, 300);
    scenario.m_maxTravelTime = Milliseconds(*rc::gen::element(3, 400, 2000));
    scenario.m_maxResponseTime = Milliseconds(*rc::gen::element(5, 1000, 4000));
    const auto gateway = [&] { return *rc::gen::inRange<std::size_t>(0, scenario.m_gateways); };
    for (int count = *rc::gen::inRange(0, 12); count > 0; --count) {
        const TimePoint killedAt = time();
        scenario.m_starts.push_back(
            {gateway(), killedAt, killedAt + Milliseconds(*rc::gen::inRange(50, 3000))});
    }
    for (int herds = *rc::gen::inRange(0, 3); herds > 0; --herds) {
        const TimePoint killedAt = time();
        for (std::size_t number = 0; number < scenario.m_gateways; ++number)
            scenario.m_starts.push_back({number, killedAt, killedAt + Milliseconds(600)});
    }
    for (std::size_t added = *rc::gen::inRange(0, 4); added > 0; --added)
        scenario.m_starts.push_back(
            {scenario.m_gateways + added - 1, TimePoint::min(), time() - Seconds(10)});
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count)
        scenario.m_freezes.push_back({gateway(), span(60)});
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count)
        scenario.m_loadChanges.push_back({span(30), static_cast<double>(*rc::gen::inRange(2, 6))});
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count)
        scenario.m_closures.push_back(span(40));
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count)
        scenario.m_brokenStreams.push_back({time(), *rc::gen::inRange<std::size_t>(10, 400)});
    return scenario;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudget)

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_while_gateways_are_killed)
{
    RetryScenario scenario;
    for (const double time : {117.0, 119.0, 121.0, 123.0})
        scenario.m_starts.push_back(
            {static_cast<std::size_t>(time) % scenario.m_gateways, at(time), at(time + 0.6)});
    checkScenario(scenario);
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_while_all_gateways_are_killed_again_and_again)
{
    RetryScenario scenario;
    for (const double time : {118.0, 121.0, 124.0}) {
        for (std::size_t number = 0; number < scenario.m_gateways; ++number)
            scenario.m_starts.push_back({number, at(time), at(time + 0.6)});
    }
    checkScenario(scenario);
}

// All streams break when an endpoint of a group fails, and are resumed when it has formed again.
BOOST_AUTO_TEST_CASE(retries_that_wait_for_a_service_to_open_stay_within_the_budget)
{
    RetryScenario scenario;
    scenario.m_failureRate = 0;
    scenario.m_brokenStreams = {{at(115.6), 200}, {at(125.8), 200}};
    scenario.m_closures = {{at(115.5), at(119)}};
    checkScenario(scenario);
}

BOOST_AUTO_TEST_CASE(retries_on_slow_connections_stay_within_the_budget)
{
    RetryScenario scenario;
    scenario.m_maxTravelTime = Milliseconds(1500);
    scenario.m_maxResponseTime = Milliseconds(1500);
    checkScenario(scenario);
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_while_load_comes_in_bursts)
{
    RetryScenario scenario;
    scenario.m_loadChanges = {
        {{at(116), at(117)}, 4}, {{at(124), at(125)}, 4}, {{at(132), at(133)}, 4}};
    checkScenario(scenario);
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_while_gateways_are_added)
{
    RetryScenario scenario;
    for (std::size_t number = 6; number < 12; ++number)
        scenario.m_starts.push_back({number, TimePoint::min(), at(118)});
    checkScenario(scenario);
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_while_gateways_are_frozen)
{
    RetryScenario scenario;
    for (std::size_t number = 0; number < 3; ++number)
        scenario.m_freezes.push_back({number, {at(118), at(122)}});
    checkScenario(scenario);
}

BOOST_AUTO_TEST_CASE(no_sequence_of_faults_lets_more_retries_arrive_than_the_budget)
{
    checkProperty("2 to 330 gateways", [] {
        const RetryScenario scenario = drawScenario();
        const auto broken =
            brokenWindow<BudgetRetryLimit>(scenario, *rc::gen::arbitrary<std::uint32_t>());
        if (broken)
            RC_FAIL(std::to_string(broken->m_retries) + " retries, allowed "
                    + std::to_string(broken->m_allowed));
    });
}

BOOST_AUTO_TEST_SUITE_END()
