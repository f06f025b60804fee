// Compares planners of expert placements and prints Markdown tables. Seeds are fixed.

#include "driftrun.h"
#include "summary.h"
#include <burdockhead/expertmap/bruteforce.h>
#include <burdockhead/expertmap/fullrecomputeplanner.h>
#include <burdockhead/expertmap/staticplanner.h>

#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace burdockhead {

namespace {

constexpr std::uint64_t runCount = 3;
constexpr std::size_t periodCount = 120; // 30 s each.
constexpr double gigabytesPerExpert = 0.044;
constexpr double storeGigabytesPerSecond = 1;
constexpr std::uint64_t smallCaseCount = 200;

struct NamedPlanner
{
    const char *m_name;
    const PlacementPlanner *m_planner;
};

IncrementalPlannerOptions costsAtStoreRate()
{
    IncrementalPlannerOptions costs;
    costs.m_secondsPerExpert = gigabytesPerExpert / storeGigabytesPerSecond;
    return costs;
}

IncrementalPlannerOptions costsOfFreeMoves()
{
    IncrementalPlannerOptions costs;
    costs.m_secondsPerExpert = 0;
    costs.m_skewTolerance = 0;
    return costs;
}

void printDriftRow(const DriftCase &driftCase, const NamedPlanner &planner)
{
    std::vector<double> skews;
    std::vector<double> highSkews;
    std::vector<double> boundSkews;
    std::vector<double> expertsLoaded;
    std::vector<double> timesLost;
    std::vector<double> planTimes;
    for (std::uint64_t seed = 1; seed <= runCount; ++seed) {
        const DriftResult result = runDrift(driftCase, *planner.m_planner, seed);
        skews.push_back(result.m_meanSkew);
        highSkews.push_back(result.m_highSkew);
        boundSkews.push_back(result.m_boundSkew);
        expertsLoaded.push_back(result.m_expertsLoaded);
        timesLost.push_back(100 * result.m_timeLost);
        planTimes.push_back(result.m_planMilliseconds);
    }
    const double expertsPerHour = quantileOf(expertsLoaded, 0.5);
    fmt::print("| {} | {} | {:.3f} | {:.3f} | {} | {:.0f} | {:.0f} | {} | {:.1f} |\n",
               planner.m_name, medianAndRange(skews, 3), quantileOf(highSkews, 0.5),
               quantileOf(boundSkews, 0.5), medianAndRange(expertsLoaded, 0),
               expertsPerHour * gigabytesPerExpert,
               expertsPerHour * gigabytesPerExpert / storeGigabytesPerSecond,
               medianAndRange(timesLost, 1), quantileOf(planTimes, 0.5));
    std::fflush(stdout);
}

void printDrift(const char *title, const DriftCase &driftCase)
{
    const StaticPlanner fixed;
    const FullRecomputePlanner full(driftCase.m_shape);
    const IncrementalPlanner incrementalAtNoCost(driftCase.m_shape, costsOfFreeMoves());
    const IncrementalPlanner incremental(driftCase.m_shape, driftCase.m_costs);
    const std::array<NamedPlanner, 4> planners = {
        {{"static map", &fixed},
         {"full recomputation", &full},
         {"incremental, moves taken as free", &incrementalAtNoCost},
         {"incremental", &incremental}}};
    fmt::print("\n{}:\n\n", title);
    fmt::print("| planner | skew, mean | skew, 95 in 100 | lower bound | experts loaded an hour "
               "| GB an hour | s of loading an hour | time lost, % | plan, ms |\n");
    fmt::print("|---|---|---|---|---|---|---|---|---|\n");
    for (const NamedPlanner &planner : planners)
        printDriftRow(driftCase, planner);
}

void printAllDrifts(const char *group, const DriftCase &base)
{
    const std::array<std::pair<Drift, const char *>, 3> drifts = {
        {{Drift::Slow, "slow drift"}, {Drift::Surge, "a rush"}, {Drift::Flip, "a flip"}}};
    for (const auto &[drift, name] : drifts) {
        DriftCase driftCase = base;
        driftCase.m_drift = drift;
        printDrift(fmt::format("{}, {}", group, name).c_str(), driftCase);
    }
}

DriftCase driftCaseFor(const GroupShape &shape)
{
    DriftCase driftCase;
    driftCase.m_shape = shape;
    driftCase.m_layers = 16;
    driftCase.m_experts = 64;
    driftCase.m_periodCount = periodCount;
    driftCase.m_costs = costsAtStoreRate();
    return driftCase;
}

void printSmallGroup()
{
    const GroupShape shape{4, 2};
    constexpr std::size_t experts = 6;
    const FullRecomputePlanner full(shape);
    const IncrementalPlanner incremental(shape, costsOfFreeMoves());
    const StaticPlanner fixed;
    const std::array<NamedPlanner, 3> planners = {
        {{"static map", &fixed}, {"full recomputation", &full}, {"incremental", &incremental}}};
    fmt::print("\nSkew over the brute-force optimum, 4 ranks, 6 experts, 2 slots a rank, {} drawn "
               "loads, moves taken as free:\n\n| planner | median | 95 in 100 | worst | experts "
               "loaded, mean |\n|---|---|---|---|---|\n",
               smallCaseCount);
    for (const NamedPlanner &planner : planners) {
        std::vector<double> ratios;
        std::vector<double> loaded;
        for (std::uint64_t seed = 1; seed <= smallCaseCount; ++seed) {
            const DriftModel model(Drift::Slow, 1, experts, 1, seed);
            const ExpertMap start = ExpertMap::roundRobin(1, experts, 4, 2);
            const ExpertMap plan = planner.m_planner->plan(start, model.loads());
            const double optimum = bruteForceSkew(model.loads().m_layers[0], shape);
            ratios.push_back(skewOf(plan, model.loads(), 4) / optimum);
            loaded.push_back(static_cast<double>(countExpertsToLoad(start, plan)));
        }
        fmt::print("| {} | {:.3f} | {:.3f} | {:.3f} | {:.1f} |\n", planner.m_name,
                   quantileOf(ratios, 0.5), quantileOf(ratios, 0.95), quantileOf(ratios, 1),
                   meanOf(loaded));
    }
}

} // namespace

} // namespace burdockhead

// Runs all benchmarks, or those named: "small", "16x5", "128x1", "128x2" (ranks x slots).
int main(int argc, char **argv)
{
    using namespace burdockhead;
    const std::vector<std::string> names(argv + 1, argv + argc);
    const auto isSelected = [&names](const char *name) {
        return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
    };
    if (isSelected("small"))
        printSmallGroup();
    if (isSelected("16x5"))
        printAllDrifts("16 ranks, 64 experts a layer, 5 slots a rank", driftCaseFor({16, 5}));
    if (isSelected("128x1"))
        printAllDrifts("128 ranks, 64 experts a layer, 1 slot a rank", driftCaseFor({128, 1}));
    if (isSelected("128x2"))
        printAllDrifts("128 ranks, 64 experts a layer, 2 slots a rank", driftCaseFor({128, 2}));
    return 0;
}
