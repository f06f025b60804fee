#include "resulttable.h"
#include "scenarios.h"
#include "simulation.h"

#include <array>
#include <functional>

namespace burdockhead {

namespace {

constexpr unsigned warmUpSeconds = 10;
constexpr unsigned endSeconds = 60;
constexpr std::array choosers = {ChooserType::RoundRobin, ChooserType::LeastReportedLoad,
                                 ChooserType::PowerOfChoices};

struct Scenario
{
    const char *m_name;
    double m_load;
    unsigned m_entryCount;
    std::function<void(Simulation &)> m_fault;
};

struct Measure
{
    const char *m_name;
    std::function<double(const Measurements &)> m_value;
    bool m_isHigherBetter;
};

std::vector<Scenario> scenarios()
{
    const auto nothing = [](Simulation &) {};
    const auto slow = [](Simulation &simulation) { simulation.replica(4).m_slowdown = 4; };
    const auto failing = [](Simulation &simulation) {
        simulation.replica(4).m_failsImmediately = true;
    };
    return {{"50 % load", 0.5, 9, nothing},
            {"80 % load", 0.8, 9, nothing},
            {"95 % load", 0.95, 9, nothing},
            {"120 % load", 1.2, 9, nothing},
            {"70 %, one replica 4 times slower", 0.7, 9, slow},
            {"70 %, one replica fails at once", 0.7, 9, failing},
            {"80 % load, 64 entries", 0.8, 64, nothing}};
}

std::vector<Measure> measures()
{
    return {
        {"first chunk p50, s", [](const auto &all) { return all.firstChunk(50); }, false},
        {"first chunk p95, s", [](const auto &all) { return all.firstChunk(95); }, false},
        {"first chunk p99, s", [](const auto &all) { return all.firstChunk(99); }, false},
        {"completion p50, s", [](const auto &all) { return all.completion(50); }, false},
        {"completion p95, s", [](const auto &all) { return all.completion(95); }, false},
        {"completion p99, s", [](const auto &all) { return all.completion(99); }, false},
        {"prefix hits, share", [](const auto &all) { return all.hitShare(); }, true},
        {"in time, share", [](const auto &all) { return all.inTimeShare(); }, true},
        {"attempts a request", [](const auto &all) { return all.attemptsPerRequest(); }, false}};
}

// The baseline choosers run without filters.
RouterOptions optionsFor(ChooserType chooser)
{
    RouterOptions options;
    options.m_chooser = chooser;
    options.m_hasFilters = chooser == ChooserType::PowerOfChoices;
    return options;
}

void measure(const Scenario &scenario, unsigned runs, const ResultTable &table)
{
    std::vector<std::vector<Measurements>> results(choosers.size());
    std::vector<Samples> skews(choosers.size());
    for (std::size_t variant = 0; variant < choosers.size(); ++variant) {
        for (unsigned seed = 1; seed <= runs; ++seed) {
            SimulationOptions options;
            options.m_router = optionsFor(choosers.at(variant));
            options.m_entryCount = scenario.m_entryCount;
            options.m_load = scenario.m_load;
            options.m_seed = seed;
            Simulation simulation(options);
            scenario.m_fault(simulation);
            simulation.run();
            results[variant].push_back(simulation.between(warmUpSeconds, endSeconds));
            skews[variant].push_back(simulation.measurements().meanSkew());
        }
    }
    for (const Measure &each : measures()) {
        std::vector<Samples> samples(choosers.size());
        for (std::size_t variant = 0; variant < choosers.size(); ++variant) {
            for (const Measurements &result : results[variant])
                samples[variant].push_back(each.m_value(result));
        }
        table.addRow(scenario.m_name, each.m_name, samples, each.m_isHigherBetter);
    }
    table.addRow(scenario.m_name, "load skew, max over mean", skews, false);
}

} // namespace

void measureChoice(unsigned runs)
{
    const ResultTable table({"round robin", "least reported load", "ours"});
    for (const Scenario &scenario : scenarios())
        measure(scenario, runs, table);
}

} // namespace burdockhead
