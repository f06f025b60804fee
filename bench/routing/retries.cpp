#include "resulttable.h"
#include "scenarios.h"
#include "simulation.h"

namespace burdockhead {

namespace {

constexpr unsigned outageStartSecond = 20;
constexpr unsigned outageEndSecond = 40;
constexpr unsigned endSecond = 70;
constexpr Milliseconds detectionDelay{300};
constexpr Seconds membershipLag{5};
constexpr double recoveredShare = 0.98;
constexpr unsigned recoveredWindow = 3;

// Returns the seconds after `from` until the share completed in time has recovered for several
// consecutive seconds.
double recoveryTime(const Simulation &simulation, unsigned from)
{
    for (unsigned second = from; second + recoveredWindow <= endSecond; ++second) {
        const Measurements window = simulation.between(second, second + recoveredWindow);
        if (window.inTimeShare() >= recoveredShare)
            return second - from;
    }
    return endSecond - from;
}

struct Variant
{
    bool m_hasFilters;
    bool m_isUnlimited;
};

struct SampleSet
{
    Samples m_attemptsDuring;
    Samples m_attemptsAfter;
    Samples m_inTimeDuring;
    Samples m_inTimeAfter;
    Samples m_recovery;
};

SampleSet sample(const Variant &variant, double load, unsigned runs)
{
    SampleSet results;
    for (unsigned seed = 1; seed <= runs; ++seed) {
        SimulationOptions options;
        options.m_router.m_hasFilters = variant.m_hasFilters;
        options.m_router.m_retries.m_isUnlimited = variant.m_isUnlimited;
        options.m_load = load;
        options.m_duration = Seconds(endSecond);
        options.m_seed = seed;
        Simulation simulation(options);
        for (unsigned number = 0; number < simulation.replicaCount(); number += 3) {
            simulation.scheduleAction(Seconds(outageStartSecond), [&simulation, number] {
                simulation.stopReplica(number, detectionDelay, membershipLag);
            });
            simulation.scheduleAction(Seconds(outageEndSecond), [&simulation, number] {
                simulation.startReplica(number, membershipLag);
            });
        }
        simulation.run();
        const Measurements during = simulation.between(outageStartSecond, outageEndSecond);
        const Measurements after = simulation.between(outageEndSecond, endSecond);
        results.m_attemptsDuring.push_back(during.attemptsPerRequest());
        results.m_attemptsAfter.push_back(after.attemptsPerRequest());
        results.m_inTimeDuring.push_back(during.inTimeShare());
        results.m_inTimeAfter.push_back(after.inTimeShare());
        results.m_recovery.push_back(recoveryTime(simulation, outageEndSecond));
    }
    return results;
}

void measure(const char *scenario, double load, unsigned runs, const ResultTable &table)
{
    const std::vector<SampleSet> all = {sample({false, true}, load, runs),
                                        sample({true, true}, load, runs),
                                        sample({true, false}, load, runs)};
    const auto row = [&](const char *name, Samples SampleSet::*member, bool isHigherBetter) {
        table.addRow(scenario, name, {all[0].*member, all[1].*member, all[2].*member},
                     isHigherBetter);
    };
    row("attempts a request during", &SampleSet::m_attemptsDuring, false);
    row("attempts a request after", &SampleSet::m_attemptsAfter, false);
    row("in time during, share", &SampleSet::m_inTimeDuring, true);
    row("in time after, share", &SampleSet::m_inTimeAfter, true);
    row("time to recover, s", &SampleSet::m_recovery, false);
}

} // namespace

void measureRetries(unsigned runs)
{
    const ResultTable table({"unlimited, no breakers", "unlimited, breakers", "ours"});
    measure("outage of a third at 60 % load", 0.6, runs, table);
    measure("outage of a third at 80 % load", 0.8, runs, table);
}

} // namespace burdockhead
