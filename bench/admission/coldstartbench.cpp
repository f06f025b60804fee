#include "simulation.h"
#include "statistics.h"
#include "tables.h"

#include <fmt/format.h>

namespace burdockhead {

namespace {

constexpr int runs = 5;
constexpr double meanService = 0.2;

struct Measured
{
    std::vector<double> m_received;
    std::vector<double> m_warmAfter;
    std::vector<double> m_probes;
    std::vector<double> m_wait;
    std::vector<double> m_inTime;
};

Measured measure(std::uint32_t coldLimit, std::uint32_t warmLimit, bool hasWindow)
{
    Measured measured;
    for (int run = 0; run < runs; ++run) {
        SimulationSettings settings;
        settings.m_limits.m_coldLimit = coldLimit;
        settings.m_limits.m_warmLimit = warmLimit;
        settings.m_limits.m_queueLimit = 4 * warmLimit;
        if (!hasWindow)
            settings.m_limits.m_unconfirmedLimit = warmLimit;
        settings.m_meanService = meanService;
        settings.m_heavyRate = 0.9 * warmLimit / meanService;
        settings.m_coldRestartAt = Seconds(60);
        settings.m_seed = 200 + run;
        const SimulationResult result = Simulation(settings).run();
        measured.m_received.push_back(result.m_startedWhileUnnoticed);
        measured.m_warmAfter.push_back(result.m_warmAfterSeconds);
        measured.m_probes.push_back(static_cast<double>(result.m_probes) / result.m_started);
        measured.m_wait.push_back(1000 * quantile(result.m_waitSeconds, 0.5));
        measured.m_inTime.push_back(100.0 * result.m_inTime / result.m_offered);
    }
    return measured;
}

} // namespace

void printColdStart()
{
    fmt::print(
        "### A cold turn without warning\n\n"
        "Virtual time; 90 % load, {} s mean service, the endpoint restarts silently at "
        "60 s of 120 s, a probe takes 0.5 ms; median (least..greatest) of {} runs, seeds 200 "
        "to {}.\n\n",
        meanService, runs, 200 + runs - 1);
    fmt::print("| cold and warm limit | window | received between turn and first sign | turn to "
               "warm limit, s | probes a request | median wait, ms | in time, % |\n"
               "|---|---|---|---|---|---|---|\n");
    for (const auto &[coldLimit, warmLimit] : {std::pair(1U, 8U), {2U, 16U}, {4U, 64U}}) {
        for (const bool hasWindow : {false, true}) {
            const Measured measured = measure(coldLimit, warmLimit, hasWindow);
            fmt::print("| {} and {} | {} | {} | {} | {} | {} | {} |\n", coldLimit, warmLimit,
                       hasWindow ? "yes" : "no", medianAndSpread(measured.m_received, 0),
                       medianAndSpread(measured.m_warmAfter, 1),
                       medianAndSpread(measured.m_probes, 2), medianAndSpread(measured.m_wait, 1),
                       medianAndSpread(measured.m_inTime, 1));
        }
    }
    fmt::print("\n");
}

} // namespace burdockhead
