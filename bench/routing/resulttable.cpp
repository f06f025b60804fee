#include "resulttable.h"

#include <fmt/format.h>

#include <algorithm>

namespace burdockhead {

namespace {

double median(Samples samples)
{
    std::sort(samples.begin(), samples.end());
    return samples[samples.size() / 2];
}

std::string cell(const Samples &samples)
{
    const auto [lowest, highest] = std::minmax_element(samples.begin(), samples.end());
    return fmt::format("{:.3f} ({:.3f}-{:.3f})", median(samples), *lowest, *highest);
}

} // namespace

ResultTable::ResultTable(const std::vector<std::string> &variants)
{
    fmt::print("\n| scenario | measure |");
    for (const std::string &variant : variants)
        fmt::print(" {} |", variant);
    fmt::print(" ratio |\n|---|---|");
    for (std::size_t column = 0; column <= variants.size(); ++column)
        fmt::print("---|");
    fmt::print("\n");
}

void ResultTable::addRow(const std::string &scenario, const std::string &measure,
                         const std::vector<Samples> &variants, bool isHigherBetter) const
{
    fmt::print("| {} | {} |", scenario, measure);
    for (const Samples &samples : variants)
        fmt::print(" {} |", cell(samples));
    std::vector<double> baselines;
    for (std::size_t variant = 0; variant + 1 < variants.size(); ++variant)
        baselines.push_back(median(variants[variant]));
    const auto [lowest, highest] = std::minmax_element(baselines.begin(), baselines.end());
    const double best = isHigherBetter ? *highest : *lowest;
    const double tested = median(variants.back());
    fmt::print(" {} |\n", best > 0 ? fmt::format("{:.2f}", tested / best) : "-");
}

} // namespace burdockhead
