#include <burdockhead/rankagent/mapplanner.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

using namespace burdockhead;

namespace {

constexpr std::size_t layers = 4;
constexpr std::size_t experts = 64;
constexpr std::size_t ranks = 16;
constexpr std::size_t slotsPerRank = 5;

// Demand that decreases with the popularity of an expert; `shift` selects the popular experts.
GroupLoads demand(std::size_t shift)
{
    GroupLoads loads{std::vector<LayerLoads>(layers, LayerLoads(experts))};
    for (std::size_t layer = 0; layer < layers; ++layer) {
        for (std::size_t expert = 0; expert < experts; ++expert)
            loads.m_layers[layer][(expert * 29 + shift + layer * 7) % experts] =
                std::pow(static_cast<double>(expert + 1), -1.1);
    }
    return loads;
}

const MapChangeLimits limits = {{ranks, slotsPerRank}, 2};

std::vector<std::size_t> newExpertsByRank(const ExpertMap &from, const ExpertMap &to)
{
    std::vector<std::size_t> newExperts(ranks, 0);
    for (std::size_t layer = 0; layer < layers; ++layer) {
        for (std::size_t expert = 0; expert < experts; ++expert) {
            const ExpertReplicas &before = from.m_layers[layer][expert];
            for (const std::uint16_t rank : to.m_layers[layer][expert])
                newExperts[rank] += std::binary_search(before.begin(), before.end(), rank) ? 0 : 1;
        }
    }
    return newExperts;
}

// Simulates changes of the map one after the other while demand shifts every 3.4 s, with loads that
// take 142 ms each. Returns the mean skew over time.
double meanSkewOverTime(const MapChangeLimits &changeLimits)
{
    constexpr double shiftInterval = 3400;
    constexpr double loadMilliseconds = 142;
    constexpr std::size_t shifts = 12;
    ExpertMap map = ExpertMap::roundRobin(layers, experts, ranks, experts / ranks);
    double sum = 0;
    for (std::size_t shift = 0; shift < shifts; ++shift) {
        const GroupLoads loads = demand(shift * 11);
        double remaining = shiftInterval;
        while (const auto planned = planMapChange(map, loads, changeLimits)) {
            const auto newExperts = newExpertsByRank(map, *planned);
            const std::size_t loadsPerRank =
                *std::max_element(newExperts.begin(), newExperts.end());
            const double duration =
                std::min(remaining, static_cast<double>(changeLimits.m_changeTime.count())
                                        + loadMilliseconds * static_cast<double>(loadsPerRank));
            sum += skewOf(map, loads, ranks) * duration;
            remaining -= duration;
            if (remaining <= 0)
                break;
            map = *planned;
        }
        sum += skewOf(map, loads, ranks) * std::max(remaining, 0.0);
    }
    return sum / (shiftInterval * shifts);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Planner)

// Load pattern of the users' groups: a few experts have most of the load, and different ones after
// a shift.
BOOST_AUTO_TEST_CASE(one_change_removes_most_of_the_skew_after_each_shift)
{
    ExpertMap map = ExpertMap::roundRobin(layers, experts, ranks, experts / ranks);
    for (std::size_t shift = 0; shift < 20; ++shift) {
        const GroupLoads loads = demand(shift * 11);
        const double before = skewOf(map, loads, ranks);
        const auto planned = planMapChange(map, loads, limits);
        BOOST_REQUIRE(planned.has_value());
        const double after = skewOf(*planned, loads, ranks);
        BOOST_TEST(after - 1 < (before - 1) / 4,
                   "shift " << shift << ": " << before << " -> " << after);
        map = *planned;
    }
}

BOOST_AUTO_TEST_CASE(a_change_respects_the_limits_of_each_rank)
{
    ExpertMap map = ExpertMap::roundRobin(layers, experts, ranks, experts / ranks);
    for (std::size_t shift = 0; shift < 20; ++shift) {
        const auto planned = planMapChange(map, demand(shift * 5), limits);
        if (!planned)
            continue;
        BOOST_TEST(fits(*planned, limits.m_shape));
        for (const std::size_t newExperts : newExpertsByRank(map, *planned))
            BOOST_TEST(newExperts <= limits.m_maxLoadsPerRank);
        map = *planned;
    }
}

// Load pattern: demand that shifts every few seconds, loads that take longer than the rest of a
// change.
BOOST_AUTO_TEST_CASE(small_changes_that_are_soon_in_use_keep_the_skew_lower_over_time)
{
    MapChangeLimits perTime = limits;
    perTime.m_loadMilliseconds = 142;
    const double small = meanSkewOverTime(perTime);
    const double whole = meanSkewOverTime(limits);
    BOOST_TEST(small < 0.95 * whole, small << ", with the largest changes first " << whole);
    BOOST_TEST_MESSAGE(small << ", with the largest changes first " << whole);
}

BOOST_AUTO_TEST_CASE(an_even_load_needs_no_change)
{
    const ExpertMap map = ExpertMap::roundRobin(layers, experts, ranks, experts / ranks);
    const GroupLoads even{std::vector<LayerLoads>(layers, LayerLoads(experts, 1.0))};
    BOOST_TEST(!planMapChange(map, even, limits).has_value());
}

// Load pattern: a rank takes twelve times as long for all work, and all ranks wait for it in each
// step.
BOOST_AUTO_TEST_CASE(experts_move_away_from_a_slow_rank)
{
    MapChangeLimits slowRankLimits = limits;
    slowRankLimits.m_shape.m_slowdownByRank.assign(ranks, 1);
    slowRankLimits.m_shape.m_slowdownByRank[3] = 12;
    const GroupLoads loads = demand(0);
    ExpertMap map = ExpertMap::roundRobin(layers, experts, ranks, experts / ranks);
    for (int change = 0; change < 4; ++change) {
        const auto planned = planMapChange(map, loads, slowRankLimits);
        if (!planned)
            break;
        BOOST_TEST(fits(*planned, slowRankLimits.m_shape));
        map = *planned;
    }
    const double skewWithSlowness = skewOf(map, loads, slowRankLimits.m_shape);
    ExpertMap ignoringSlowness = ExpertMap::roundRobin(layers, experts, ranks, experts / ranks);
    while (const auto planned = planMapChange(ignoringSlowness, loads, limits))
        ignoringSlowness = *planned;
    const double skewIgnoringSlowness = skewOf(ignoringSlowness, loads, slowRankLimits.m_shape);
    BOOST_TEST(skewWithSlowness < 2, skewWithSlowness
                                         << " times the mean, without regard to slowness "
                                         << skewIgnoringSlowness);
    BOOST_TEST(skewIgnoringSlowness > 3 * skewWithSlowness);
}

// Load pattern: a rank turns slow, and the counts of the others change with the work that they take
// from it, which looks like a shift while the plan to relieve it is being loaded.
BOOST_AUTO_TEST_CASE(a_plan_that_relieves_a_slow_rank_is_kept_when_counts_change)
{
    MapChangeLimits slowRankLimits = limits;
    slowRankLimits.m_shape.m_slowdownByRank.assign(ranks, 1);
    slowRankLimits.m_shape.m_slowdownByRank[3] = 12;
    const ExpertMap map = ExpertMap::roundRobin(layers, experts, ranks, experts / ranks);
    const auto planned = planMapChange(map, demand(0), slowRankLimits);
    BOOST_TEST_REQUIRE(planned.has_value());
    GroupLoads changed = demand(0);
    for (std::size_t expert = 0; expert < experts; ++expert) {
        for (LayerLoads &loads : changed.m_layers)
            loads[expert] *= expert % 3 == 0 ? 1.3 : 0.8;
    }
    BOOST_TEST(isStillWorthwhile(*planned, map, changed, slowRankLimits.m_shape));
}

BOOST_AUTO_TEST_CASE(a_plan_is_dropped_when_other_experts_are_in_demand)
{
    const ExpertMap map = ExpertMap::roundRobin(layers, experts, ranks, experts / ranks);
    const auto planned = planMapChange(map, demand(0), limits);
    BOOST_TEST_REQUIRE(planned.has_value());
    BOOST_TEST(isStillWorthwhile(*planned, map, demand(0), limits.m_shape));
    BOOST_TEST(!isStillWorthwhile(*planned, map, demand(11), limits.m_shape));
}

BOOST_AUTO_TEST_SUITE_END()
