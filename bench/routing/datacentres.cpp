#include "resulttable.h"
#include "scenarios.h"
#include "simulation.h"

#include <array>
#include <functional>
#include <string>

namespace burdockhead {

namespace {

constexpr unsigned lossSecond = 20;
constexpr unsigned returnSecond = 40;
constexpr unsigned endSecond = 60;
constexpr unsigned warmUpSeconds = 10;
constexpr Milliseconds detectionDelay{300};
constexpr Milliseconds noDetectionDelay{1};
constexpr Seconds membershipLag{5};
constexpr Seconds drainTime{10};

using Fault = std::function<void(Simulation &, bool isBaseline)>;

void forDataCentre(Simulation &simulation, unsigned second,
                   const std::function<void(unsigned)> &action)
{
    for (unsigned number = 0; number < simulation.replicaCount(); number += Simulation::dataCentres)
        simulation.scheduleAction(Seconds(second), [action, number] { action(number); });
}

void startAll(Simulation &simulation, unsigned second)
{
    forDataCentre(simulation, second,
                  [&simulation](unsigned number) { simulation.startReplica(number, Seconds(1)); });
}

// Stops the processes at once if `isBaseline`; otherwise they finish their requests first.
void takeOut(Simulation &simulation, bool isBaseline)
{
    simulation.scheduleAction(Seconds(lossSecond),
                              [&simulation] { simulation.setTakenOut(0, true); });
    const unsigned stopSecond =
        isBaseline ? lossSecond : lossSecond + static_cast<unsigned>(drainTime.count());
    forDataCentre(simulation, stopSecond, [&simulation](unsigned number) {
        simulation.stopReplica(number, noDetectionDelay, Seconds(1));
    });
    startAll(simulation, returnSecond - 1);
    simulation.scheduleAction(Seconds(returnSecond),
                              [&simulation] { simulation.setTakenOut(0, false); });
}

void suddenLoss(Simulation &simulation, bool /*isBaseline*/)
{
    forDataCentre(simulation, lossSecond, [&simulation](unsigned number) {
        simulation.stopReplica(number, detectionDelay, membershipLag);
    });
    startAll(simulation, returnSecond);
}

// All data centres stay up, and one turns cold with a new incarnation.
void turnCold(Simulation &simulation, bool /*isBaseline*/)
{
    forDataCentre(simulation, lossSecond, [&simulation](unsigned number) {
        simulation.stopReplica(number, noDetectionDelay, Duration(0));
        simulation.startReplica(number, Seconds(1));
    });
}

struct SampleSet
{
    std::array<Samples, 3> m_parts; // Before, during, after.
    Samples m_p95After;
};

SampleSet sample(const Fault &fault, double load, ChooserType chooser, bool isBaseline,
                 unsigned runs)
{
    SampleSet results;
    for (unsigned seed = 1; seed <= runs; ++seed) {
        SimulationOptions options;
        options.m_router.m_chooser = chooser;
        options.m_router.m_hasFilters = !isBaseline;
        options.m_load = load;
        options.m_duration = Seconds(endSecond);
        options.m_seed = seed;
        options.m_hasMixedKinds = true;
        Simulation simulation(options);
        fault(simulation, isBaseline);
        simulation.run();
        const Measurements after = simulation.between(returnSecond, endSecond);
        results.m_parts[0].push_back(
            simulation.between(warmUpSeconds, lossSecond).weightedInTimeShare());
        results.m_parts[1].push_back(
            simulation.between(lossSecond, returnSecond).weightedInTimeShare());
        results.m_parts[2].push_back(after.weightedInTimeShare());
        results.m_p95After.push_back(after.completion(95));
    }
    return results;
}

void measure(const std::string &scenario, const Fault &fault, double load, unsigned runs,
             const ResultTable &table)
{
    const std::vector<SampleSet> all = {
        sample(fault, load, ChooserType::RoundRobin, true, runs),
        sample(fault, load, ChooserType::PowerOfChoices, true, runs),
        sample(fault, load, ChooserType::PowerOfChoices, false, runs)};
    constexpr std::array names = {"weighted in time before, share",
                                  "weighted in time during, share",
                                  "weighted in time after, share"};
    for (std::size_t part = 0; part < names.size(); ++part)
        table.addRow(scenario, names.at(part),
                     {all[0].m_parts.at(part), all[1].m_parts.at(part), all[2].m_parts.at(part)},
                     true);
    table.addRow(scenario, "completion p95 after, s",
                 {all[0].m_p95After, all[1].m_p95After, all[2].m_p95After}, false);
}

} // namespace

void measureDataCentres(unsigned runs)
{
    const ResultTable table({"naive, round robin", "naive, our chooser", "ours"});
    for (const double load : {0.6, 0.8}) {
        const std::string suffix = load < 0.7 ? ", 60 % load" : ", 80 % load";
        measure("planned take-out, cold return" + suffix, takeOut, load, runs, table);
        measure("sudden loss, cold return" + suffix, suddenLoss, load, runs, table);
        measure("a third turns cold at once" + suffix, turnCold, load, runs, table);
    }
}

} // namespace burdockhead
