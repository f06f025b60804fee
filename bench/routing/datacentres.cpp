#include "resulttable.h"
#include "scenarios.h"
#include "simulation.h"

#include <array>
#include <functional>
#include <string>

namespace burdockhead {

namespace {

constexpr unsigned leaveAt = 20;
constexpr unsigned returnAt = 40;
constexpr unsigned runEnd = 60;
constexpr unsigned settledAt = 10;
constexpr Milliseconds detection{300};
constexpr Milliseconds noDetection{1};
constexpr Seconds membershipLag{5};
constexpr Seconds drainTime{10};

using Fault = std::function<void(Simulation &, bool naive)>;

void forDataCentre(Simulation &simulation, unsigned second,
                   const std::function<void(unsigned)> &action)
{
    for (unsigned number = 0; number < simulation.replicaCount(); number += Simulation::dataCentres)
        simulation.at(Seconds(second), [action, number] { action(number); });
}

void startAll(Simulation &simulation, unsigned second)
{
    forDataCentre(simulation, second,
                  [&simulation](unsigned number) { simulation.startReplica(number, Seconds(1)); });
}

// Naive: the processes are stopped at once. Ours: they finish what they have first.
void takeOut(Simulation &simulation, bool naive)
{
    simulation.at(Seconds(leaveAt), [&simulation] { simulation.setTakenOut(0, true); });
    const unsigned stopAt = naive ? leaveAt : leaveAt + static_cast<unsigned>(drainTime.count());
    forDataCentre(simulation, stopAt, [&simulation](unsigned number) {
        simulation.stopReplica(number, noDetection, Seconds(1));
    });
    startAll(simulation, returnAt - 1);
    simulation.at(Seconds(returnAt), [&simulation] { simulation.setTakenOut(0, false); });
}

void suddenLoss(Simulation &simulation, bool /*naive*/)
{
    forDataCentre(simulation, leaveAt, [&simulation](unsigned number) {
        simulation.stopReplica(number, detection, membershipLag);
    });
    startAll(simulation, returnAt);
}

// Both data centres are there all the time, and one turns cold with a new incarnation.
void coldAtOnce(Simulation &simulation, bool /*naive*/)
{
    forDataCentre(simulation, leaveAt, [&simulation](unsigned number) {
        simulation.stopReplica(number, noDetection, Duration(0));
        simulation.startReplica(number, Seconds(1));
    });
}

struct Samplings
{
    std::array<Samples, 3> m_parts; // Before, during, after.
    Samples m_p95After;
};

Samplings sample(const Fault &fault, double load, ChooserType chooser, bool naive, unsigned runs)
{
    Samplings samplings;
    for (unsigned seed = 1; seed <= runs; ++seed) {
        SimulationOptions options;
        options.m_router.m_chooser = chooser;
        options.m_router.m_gates = !naive;
        options.m_load = load;
        options.m_length = Seconds(runEnd);
        options.m_seed = seed;
        options.m_kinds = true;
        Simulation simulation(options);
        fault(simulation, naive);
        simulation.run();
        const Measurements after = simulation.between(returnAt, runEnd);
        samplings.m_parts[0].push_back(
            simulation.between(settledAt, leaveAt).weightedInTimeShare());
        samplings.m_parts[1].push_back(simulation.between(leaveAt, returnAt).weightedInTimeShare());
        samplings.m_parts[2].push_back(after.weightedInTimeShare());
        samplings.m_p95After.push_back(after.completion(95));
    }
    return samplings;
}

void measure(const std::string &scenario, const Fault &fault, double load, unsigned runs,
             const ResultTable &table)
{
    const std::vector<Samplings> all = {
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
        measure("a third turns cold at once" + suffix, coldAtOnce, load, runs, table);
    }
}

} // namespace burdockhead
