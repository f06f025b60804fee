#include <burdockhead/rankagent/mapplanner.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

using namespace burdockhead;

namespace {

constexpr std::size_t layers = 4;
constexpr std::size_t experts = 64;
constexpr std::size_t ranks = 16;
constexpr std::size_t places = 5;

// Demand that falls with the rank of an expert's popularity; `shift` names who is popular.
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

const MapChangeLimits limits = {{ranks, places}, 2};

std::vector<std::size_t> newOnRanks(const ExpertMap &from, const ExpertMap &to)
{
    std::vector<std::size_t> added(ranks, 0);
    for (std::size_t layer = 0; layer < layers; ++layer) {
        for (std::size_t expert = 0; expert < experts; ++expert) {
            const ExpertReplicas &before = from.m_layers[layer][expert];
            for (const std::uint16_t rank : to.m_layers[layer][expert])
                added[rank] += std::binary_search(before.begin(), before.end(), rank) ? 0 : 1;
        }
    }
    return added;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Planner)

// The load pattern of the users' groups: a few experts take most, and others do after a shift.
BOOST_AUTO_TEST_CASE(one_change_takes_off_most_of_the_skew_after_each_shift)
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

BOOST_AUTO_TEST_CASE(a_change_keeps_the_bounds_of_what_ranks_hold_and_load)
{
    ExpertMap map = ExpertMap::roundRobin(layers, experts, ranks, experts / ranks);
    for (std::size_t shift = 0; shift < 20; ++shift) {
        const auto planned = planMapChange(map, demand(shift * 5), limits);
        if (!planned)
            continue;
        BOOST_TEST(fits(*planned, limits.m_shape));
        for (const std::size_t added : newOnRanks(map, *planned))
            BOOST_TEST(added <= limits.m_newPerRankInAll);
        map = *planned;
    }
}

BOOST_AUTO_TEST_CASE(an_even_load_is_left_alone)
{
    const ExpertMap map = ExpertMap::roundRobin(layers, experts, ranks, experts / ranks);
    const GroupLoads even{std::vector<LayerLoads>(layers, LayerLoads(experts, 1.0))};
    BOOST_TEST(!planMapChange(map, even, limits).has_value());
}

// The load pattern of a rank that takes twelve times as long for everything: all ranks wait for it
// in each step.
BOOST_AUTO_TEST_CASE(a_slow_rank_gives_its_experts_to_the_others)
{
    MapChangeLimits slow = limits;
    slow.m_shape.m_slowness.assign(ranks, 1);
    slow.m_shape.m_slowness[3] = 12;
    const GroupLoads loads = demand(0);
    ExpertMap map = ExpertMap::roundRobin(layers, experts, ranks, experts / ranks);
    for (int change = 0; change < 4; ++change) {
        const auto planned = planMapChange(map, loads, slow);
        if (!planned)
            break;
        BOOST_TEST(fits(*planned, slow.m_shape));
        map = *planned;
    }
    const double ours = skewOf(map, loads, slow.m_shape);
    ExpertMap naive = ExpertMap::roundRobin(layers, experts, ranks, experts / ranks);
    while (const auto planned = planMapChange(naive, loads, limits))
        naive = *planned;
    const double blind = skewOf(naive, loads, slow.m_shape);
    BOOST_TEST(ours < 2, ours << " times the mean, without regard to slowness " << blind);
    BOOST_TEST(blind > 3 * ours);
}

BOOST_AUTO_TEST_SUITE_END()
