#include "resulttable.h"
#include "scenarios.h"
#include "simulation.h"

namespace burdockhead {

namespace {

constexpr unsigned warmUpSeconds = 20;
constexpr unsigned endSeconds = 60;
constexpr double stallShare = 0.02;

struct Samplings
{
    Samples m_firstChunk;
    Samples m_completion;
    Samples m_inTime;
    Samples m_attempts;
};

Samplings sample(double load, bool hedges, unsigned runs)
{
    Samplings samplings;
    for (unsigned seed = 1; seed <= runs; ++seed) {
        SimulationOptions options;
        options.m_hedges = hedges;
        options.m_load = load;
        options.m_seed = seed;
        Simulation simulation(options);
        for (unsigned number = 0; number < simulation.replicaCount(); ++number)
            simulation.replica(number).m_stallShare = stallShare;
        simulation.run();
        const Measurements part = simulation.between(warmUpSeconds, endSeconds);
        samplings.m_firstChunk.push_back(part.firstChunk(99));
        samplings.m_completion.push_back(part.completion(99));
        samplings.m_inTime.push_back(part.inTimeShare());
        samplings.m_attempts.push_back(part.attemptsPerRequest());
    }
    return samplings;
}

void measure(const char *scenario, double load, unsigned runs, const ResultTable &table)
{
    const Samplings naive = sample(load, false, runs);
    const Samplings ours = sample(load, true, runs);
    const auto row = [&](const char *name, Samples Samplings::*member, bool higherIsBetter) {
        table.addRow(scenario, name, {naive.*member, ours.*member}, higherIsBetter);
    };
    row("first chunk p99, s", &Samplings::m_firstChunk, false);
    row("completion p99, s", &Samplings::m_completion, false);
    row("in time, share", &Samplings::m_inTime, true);
    row("attempts a request", &Samplings::m_attempts, false);
}

} // namespace

void measureHedges(unsigned runs)
{
    const ResultTable table({"no hedges", "ours"});
    measure("2 % of requests stall 3 s, 60 % load", 0.6, runs, table);
    measure("2 % of requests stall 3 s, 120 % load", 1.2, runs, table);
}

} // namespace burdockhead
