#include "driftrun.h"

#include "summary.h"
#include <burdockhead/expertmap/expertpopularity.h>
#include <burdockhead/expertmap/fullrecomputeplanner.h>

#include <optional>
#include <utility>

namespace burdockhead {

namespace {

constexpr std::chrono::seconds halfLife(60);

// A map whose experts are being loaded.
struct PendingMap
{
    ExpertMap m_map;
    double m_readyAt = 0; // Seconds into the run.
};

// Simulation of one planner under a drift.
class DriftRun
{
public:
    DriftRun(const DriftCase &driftCase, const PlacementPlanner &planner, std::uint64_t seed)
        : m_case(driftCase)
        , m_planner(planner)
        , m_model(driftCase.m_drift, driftCase.m_layers, driftCase.m_experts,
                  driftCase.m_periodCount, seed)
        , m_popularity(driftCase.m_layers, driftCase.m_experts, halfLife)
    {
        // All planners start with the same map, planned for the initial load.
        m_map = FullRecomputePlanner(m_case.m_shape).plan({}, m_model.loads());
    }

    DriftResult run()
    {
        for (std::size_t period = 0; period < m_case.m_periodCount; ++period) {
            runPeriod(static_cast<double>(period) * m_case.m_periodSeconds);
            m_model.advance();
        }
        return result();
    }

private:
    void runPeriod(double now)
    {
        if (m_pending && now >= m_pending->m_readyAt) {
            m_map = std::move(m_pending->m_map);
            m_pending.reset();
        }
        measureSkew();
        countTokens(now);
        if (!m_pending)
            plan(now);
    }

    void measureSkew()
    {
        const std::size_t ranks = m_case.m_shape.m_rankCount;
        m_skews.push_back(skewOf(m_map, m_model.loads(), ranks));
        m_bounds.push_back(skewLowerBound(m_model.loads(), m_case.m_shape));
    }

    void countTokens(double now)
    {
        const auto seconds = std::chrono::duration<double>(now);
        const TimePoint time(std::chrono::duration_cast<Duration>(seconds));
        const GroupLoads observed = m_model.observe();
        for (std::size_t layer = 0; layer < m_case.m_layers; ++layer) {
            for (std::size_t expert = 0; expert < m_case.m_experts; ++expert)
                m_popularity.add(layer, expert, observed.m_layers[layer][expert], time);
        }
    }

    void plan(double now)
    {
        const auto begin = Clock::now();
        ExpertMap next = m_planner.plan(m_map, m_popularity.loads());
        m_planDurations.push_back(
            std::chrono::duration<double, std::milli>(Clock::now() - begin).count());
        if (next == m_map)
            return;
        const auto expertCount = static_cast<double>(countExpertsToLoad(m_map, next));
        m_loadedCount += expertCount;
        m_pending =
            PendingMap{std::move(next), now + expertCount * m_case.m_costs.m_secondsPerExpert};
    }

    DriftResult result()
    {
        DriftResult result;
        const double hours =
            static_cast<double>(m_case.m_periodCount) * m_case.m_periodSeconds / 3600;
        result.m_meanSkew = meanOf(m_skews);
        result.m_highSkew = quantileOf(m_skews, 0.95);
        result.m_boundSkew = meanOf(m_bounds);
        result.m_expertsLoaded = m_loadedCount / hours;
        result.m_loadingSeconds = result.m_expertsLoaded * m_case.m_costs.m_secondsPerExpert;
        result.m_timeLost = m_case.m_costs.m_expertTimeShare * (result.m_meanSkew - 1)
                            + m_case.m_costs.m_loadingSlowdown * result.m_loadingSeconds / 3600;
        result.m_planMilliseconds = quantileOf(m_planDurations, 0.5);
        return result;
    }

    const DriftCase &m_case;
    const PlacementPlanner &m_planner;
    DriftModel m_model;
    ExpertPopularity m_popularity;
    ExpertMap m_map;
    std::optional<PendingMap> m_pending;
    std::vector<double> m_skews;
    std::vector<double> m_bounds;
    std::vector<double> m_planDurations;
    double m_loadedCount = 0;
};

} // namespace

DriftResult runDrift(const DriftCase &driftCase, const PlacementPlanner &planner,
                     std::uint64_t seed)
{
    return DriftRun(driftCase, planner, seed).run();
}

} // namespace burdockhead
