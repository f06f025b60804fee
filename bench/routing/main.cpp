#include "scenarios.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdint>
#include <string>

ABSL_FLAG(std::string, scenario, "all", "choice, retries, hedges, datacentres, cost or all");
ABSL_FLAG(std::uint32_t, runs, 5, "number of seeds per figure, starting at 1");

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const std::string scenario = absl::GetFlag(FLAGS_scenario);
    const unsigned runs = absl::GetFlag(FLAGS_runs);
    const bool all = scenario == "all";
    if (all || scenario == "choice")
        burdockhead::measureChoice(runs);
    if (all || scenario == "retries")
        burdockhead::measureRetries(runs);
    if (all || scenario == "hedges")
        burdockhead::measureHedges(runs);
    if (all || scenario == "datacentres")
        burdockhead::measureDataCentres(runs);
    if (all || scenario == "cost")
        burdockhead::measureCost();
    return 0;
}
