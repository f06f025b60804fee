#include "simulation.h"
#include "statistics.h"
#include "tables.h"

#include <fmt/format.h>

namespace burdockhead {

namespace {

constexpr int runs = 5;
constexpr std::uint32_t warmLimit = 8;
constexpr double meanService = 0.2;
constexpr double capacity = warmLimit / meanService; // Requests per second.
constexpr int lightWorkspaces = 9;
constexpr double lightRate = 1;

SimulationSettings settingsOf(bool isFifo, double load, int run)
{
    SimulationSettings settings;
    settings.m_isFifo = isFifo;
    settings.m_limits.m_coldLimit = 1;
    settings.m_limits.m_warmLimit = warmLimit;
    settings.m_limits.m_queueLimit = 32;
    settings.m_meanService = meanService;
    settings.m_lightWorkspaces = lightWorkspaces;
    settings.m_lightRate = lightRate;
    settings.m_heavyRate = load * capacity - lightWorkspaces * lightRate;
    settings.m_seed = 100 + run;
    return settings;
}

struct Measured
{
    std::vector<double>
        m_goodput; // Percent of the offered load or of capacity, whichever is smaller.
    std::vector<double> m_worstLight;
    std::vector<double> m_heavy;
    std::vector<double> m_late;
    std::vector<double> m_refusal;
};

Measured measure(bool isFifo, double load)
{
    Measured measured;
    for (int run = 0; run < runs; ++run) {
        const SimulationSettings settings = settingsOf(isFifo, load, run);
        const SimulationResult result = Simulation(settings).run();
        const double length = std::chrono::duration<double>(settings.m_length).count();
        const double achievable = std::min(load, 1.0) * capacity * length;
        measured.m_goodput.push_back(100 * result.m_inTime / achievable);
        measured.m_worstLight.push_back(100 * result.m_worstLightInTime);
        measured.m_heavy.push_back(100 * result.m_heavyInTime);
        measured.m_late.push_back(100.0 * result.m_late / result.m_offered);
        measured.m_refusal.push_back(1000 * quantile(result.m_refusalSeconds, 0.99));
    }
    return measured;
}

} // namespace

void printOverload()
{
    fmt::print("### Overload of one endpoint\n\n"
               "Virtual time; {} at a time, {} s mean service, deadline 2 s, one heavy workspace "
               "and {} light ones of 1/s each, 120 s; median (least..greatest) of {} runs, seeds "
               "100 to {}. In time: in percent of what was offered or of capacity, whichever is "
               "smaller.\n\n",
               warmLimit, meanService, lightWorkspaces, runs, 100 + runs - 1);
    fmt::print("| offered | policy | in time, % | worst light workspace in time, % | heavy in "
               "time, % | ended late, % of offered | arrival to refusal, 99 in 100, ms |\n"
               "|---|---|---|---|---|---|---|\n");
    for (const double load : {0.8, 1.0, 1.2, 2.0, 4.0}) {
        for (const bool isFifo : {true, false}) {
            const Measured measured = measure(isFifo, load);
            fmt::print("| {:.0f} % | {} | {} | {} | {} | {} | {} |\n", 100 * load,
                       isFifo ? "first come, first served" : "fair shares, early refusal",
                       medianAndSpread(measured.m_goodput, 1),
                       medianAndSpread(measured.m_worstLight, 1),
                       medianAndSpread(measured.m_heavy, 1), medianAndSpread(measured.m_late, 1),
                       isFifo ? "none" : medianAndSpread(measured.m_refusal, 0));
        }
    }
    fmt::print("\n");
}

} // namespace burdockhead
