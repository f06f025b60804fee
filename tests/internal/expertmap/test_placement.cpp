#include <burdockhead/base/random.h>
#include <burdockhead/expertmap/bruteforce.h>
#include <burdockhead/expertmap/expertpopularity.h>
#include <burdockhead/expertmap/fullrecomputeplanner.h>
#include <burdockhead/expertmap/incrementalplanner.h>

#include <cmath>
#include <property.h>

using namespace burdockhead;

namespace {

const GroupShape smallShape{4, 2};
constexpr std::size_t smallExperts = 6;

GroupLoads randomLoads(std::size_t layers, std::size_t experts)
{
    GroupLoads loads;
    for (std::size_t layer = 0; layer < layers; ++layer) {
        LayerLoads layerLoads;
        for (std::size_t expert = 0; expert < experts; ++expert)
            layerLoads.push_back(*rc::gen::inRange(0, 1000));
        loads.m_layers.push_back(layerLoads);
    }
    return loads;
}

IncrementalPlannerOptions costsOfFreeMoves()
{
    IncrementalPlannerOptions costs;
    costs.m_secondsPerExpert = 0;
    costs.m_skewTolerance = 0;
    return costs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Placement)

BOOST_AUTO_TEST_CASE(every_plan_fits_the_group_and_is_never_below_the_lower_bound)
{
    checkProperty("plans fit", [] {
        const GroupShape shape{*rc::gen::inRange<std::size_t>(2, 10),
                               *rc::gen::inRange<std::size_t>(2, 6)};
        const auto experts = *rc::gen::inRange<std::size_t>(1, shape.m_rankCount * 2);
        const GroupLoads loads = randomLoads(2, experts);
        const ExpertMap start =
            ExpertMap::roundRobin(2, experts, shape.m_rankCount, shape.m_slotsPerRank);
        const ExpertMap incremental =
            IncrementalPlanner(shape, costsOfFreeMoves()).plan(start, loads);
        const ExpertMap full = FullRecomputePlanner(shape).plan(start, loads);
        RC_ASSERT(fits(start, shape));
        RC_ASSERT(fits(incremental, shape));
        RC_ASSERT(fits(full, shape));
        const double bound = skewLowerBound(loads, shape) - 1e-9;
        RC_ASSERT(skewOf(incremental, loads, shape.m_rankCount) >= bound);
        RC_ASSERT(skewOf(full, loads, shape.m_rankCount) >= bound);
        RC_ASSERT(skewOf(incremental, loads, shape.m_rankCount)
                  <= skewOf(start, loads, shape.m_rankCount) + 1e-9);
    });
}

BOOST_AUTO_TEST_CASE(on_small_groups_plans_lie_between_the_optimum_and_the_start)
{
    checkProperty("near the optimum", [] {
        const GroupLoads loads = randomLoads(1, smallExperts);
        const ExpertMap start = ExpertMap::roundRobin(1, smallExperts, smallShape.m_rankCount,
                                                      smallShape.m_slotsPerRank);
        const double optimum = bruteForceSkew(loads.m_layers[0], smallShape);
        const ExpertMap incremental =
            IncrementalPlanner(smallShape, costsOfFreeMoves()).plan(start, loads);
        const double skew = skewOf(incremental, loads, smallShape.m_rankCount);
        RC_ASSERT(skew >= optimum - 1e-9);
        RC_ASSERT(optimum >= skewLowerBound(loads, smallShape) - 1e-9);
        RC_ASSERT(skew <= 1.5 * optimum);
    });
}

BOOST_AUTO_TEST_CASE(a_change_that_does_not_pay_is_not_made)
{
    const GroupLoads loads{{{100, 90, 80, 70, 60, 50}}};
    const ExpertMap start = ExpertMap::roundRobin(1, smallExperts, 4, 2);
    IncrementalPlannerOptions costs;
    costs.m_secondsPerExpert = 1000;
    BOOST_TEST((IncrementalPlanner(smallShape, costs).plan(start, loads) == start));
    BOOST_TEST((IncrementalPlanner(smallShape, costsOfFreeMoves()).plan(start, loads) != start));
}

BOOST_AUTO_TEST_CASE(a_balanced_map_is_left_alone)
{
    const GroupLoads loads{{LayerLoads(64, 10.0)}};
    const ExpertMap start = ExpertMap::roundRobin(1, 64, 128, 1);
    const IncrementalPlanner planner({128, 1}, costsOfFreeMoves());
    BOOST_TEST((planner.plan(start, loads) == start));
    BOOST_TEST((planner.plan(start, {{LayerLoads(64, 0.0)}}) == start));
}

BOOST_AUTO_TEST_CASE(popularity_halves_in_a_half_life)
{
    ExpertPopularity popularity(1, 2, Seconds(10));
    TimePoint now;
    now += Seconds(5);
    popularity.add(0, 0, 100, now);
    now += Seconds(10);
    popularity.add(0, 1, 30, now);
    popularity.add(7, 0, 30, now);
    BOOST_TEST(std::abs(popularity.loads().m_layers[0][0] - 50) < 1e-9);
    BOOST_TEST(std::abs(popularity.loads().m_layers[0][1] - 30) < 1e-9);
}

BOOST_AUTO_TEST_SUITE_END()
