#include "resulttable.h"
#include "scenarios.h"
#include "simulation.h"

namespace burdockhead {

namespace {

constexpr unsigned outageBegin = 20;
constexpr unsigned outageEnd = 40;
constexpr unsigned runEnd = 70;
constexpr Milliseconds detection{300};
constexpr Seconds membershipLag{5};
constexpr double recoveredShare = 0.98;
constexpr unsigned recoveredWindow = 3;

// Seconds after `from` until the share completed in time is back for some seconds on end.
double recoveryTime(const Simulation &simulation, unsigned from)
{
    for (unsigned second = from; second + recoveredWindow <= runEnd; ++second) {
        const Measurements window = simulation.between(second, second + recoveredWindow);
        if (window.inTimeShare() >= recoveredShare)
            return second - from;
    }
    return runEnd - from;
}

struct Variant
{
    bool m_gates;
    bool m_unlimited;
};

struct Samplings
{
    Samples m_attemptsDuring;
    Samples m_attemptsAfter;
    Samples m_inTimeDuring;
    Samples m_inTimeAfter;
    Samples m_recovery;
};

Samplings sample(const Variant &variant, double load, unsigned runs)
{
    Samplings samplings;
    for (unsigned seed = 1; seed <= runs; ++seed) {
        SimulationOptions options;
        options.m_router.m_gates = variant.m_gates;
        options.m_router.m_retries.m_unlimited = variant.m_unlimited;
        options.m_load = load;
        options.m_length = Seconds(runEnd);
        options.m_seed = seed;
        Simulation simulation(options);
        for (unsigned number = 0; number < simulation.replicaCount(); number += 3) {
            simulation.at(Seconds(outageBegin), [&simulation, number] {
                simulation.stopReplica(number, detection, membershipLag);
            });
            simulation.at(Seconds(outageEnd), [&simulation, number] {
                simulation.startReplica(number, membershipLag);
            });
        }
        simulation.run();
        const Measurements during = simulation.between(outageBegin, outageEnd);
        const Measurements after = simulation.between(outageEnd, runEnd);
        samplings.m_attemptsDuring.push_back(during.attemptsPerRequest());
        samplings.m_attemptsAfter.push_back(after.attemptsPerRequest());
        samplings.m_inTimeDuring.push_back(during.inTimeShare());
        samplings.m_inTimeAfter.push_back(after.inTimeShare());
        samplings.m_recovery.push_back(recoveryTime(simulation, outageEnd));
    }
    return samplings;
}

void measure(const char *scenario, double load, unsigned runs, const ResultTable &table)
{
    const std::vector<Samplings> all = {sample({false, true}, load, runs),
                                        sample({true, true}, load, runs),
                                        sample({true, false}, load, runs)};
    const auto row = [&](const char *name, Samples Samplings::*member, bool higherIsBetter) {
        table.addRow(scenario, name, {all[0].*member, all[1].*member, all[2].*member},
                     higherIsBetter);
    };
    row("attempts a request during", &Samplings::m_attemptsDuring, false);
    row("attempts a request after", &Samplings::m_attemptsAfter, false);
    row("in time during, share", &Samplings::m_inTimeDuring, true);
    row("in time after, share", &Samplings::m_inTimeAfter, true);
    row("time to recover, s", &Samplings::m_recovery, false);
}

} // namespace

void measureRetries(unsigned runs)
{
    const ResultTable table({"unlimited, no breakers", "unlimited, breakers", "ours"});
    measure("outage of a third at 60 % load", 0.6, runs, table);
    measure("outage of a third at 80 % load", 0.8, runs, table);
}

} // namespace burdockhead
