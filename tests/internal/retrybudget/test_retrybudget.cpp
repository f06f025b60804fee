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
    void end(TimePoint) override {}

    bool tryBegin(const PeerTable &peers, TimePoint now) override
    {
        return m_budget.tryAcquire(peers.shareOfLimit(m_window, now), now);
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

BOOST_AUTO_TEST_SUITE_END()
