#include "resulttable.h"
#include "scenarios.h"
#include "simulation.h"

namespace burdockhead {

namespace {

constexpr unsigned warmUpSeconds = 20;
constexpr unsigned endSeconds = 60;
constexpr double stallShare = 0.02;

struct SampleSet
{
    Samples m_firstChunk;
    Samples m_completion;
    Samples m_inTime;
    Samples m_attempts;
};

SampleSet sample(double load, bool hedges, unsigned runs)
{
    SampleSet results;
    for (unsigned seed = 1; seed <= runs; ++seed) {
        SimulationOptions options;
        options.m_hasHedging = hedges;
        options.m_load = load;
        options.m_seed = seed;
        Simulation simulation(options);
        for (unsigned number = 0; number < simulation.replicaCount(); ++number)
            simulation.replica(number).m_stallShare = stallShare;
        simulation.run();
        const Measurements part = simulation.between(warmUpSeconds, endSeconds);
        results.m_firstChunk.push_back(part.firstChunk(99));
        results.m_completion.push_back(part.completion(99));
        results.m_inTime.push_back(part.inTimeShare());
        results.m_attempts.push_back(part.attemptsPerRequest());
    }
    return results;
}

void measure(const char *scenario, double load, unsigned runs, const ResultTable &table)
{
    const SampleSet baseline = sample(load, false, runs);
    const SampleSet tested = sample(load, true, runs);
    const auto row = [&](const char *name, Samples SampleSet::*member, bool isHigherBetter) {
        table.addRow(scenario, name, {baseline.*member, tested.*member}, isHigherBetter);
    };
    row("first chunk p99, s", &SampleSet::m_firstChunk, false);
    row("completion p99, s", &SampleSet::m_completion, false);
    row("in time, share", &SampleSet::m_inTime, true);
    row("attempts a request", &SampleSet::m_attempts, false);
}

} // namespace

void measureHedges(unsigned runs)
{
    const ResultTable table({"no hedges", "ours"});
    measure("2 % of requests stall 3 s, 60 % load", 0.6, runs, table);
    measure("2 % of requests stall 3 s, 120 % load", 1.2, runs, table);
}

} // namespace burdockhead
