#include "statistics.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace burdockhead {

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * values.size()));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

std::string medianAndSpread(const std::vector<double> &values, int decimals)
{
    const auto [minimum, maximum] = std::ranges::minmax(values);
    return fmt::format("{:.{}f} ({:.{}f}..{:.{}f})", quantile(values, 0.5), decimals, minimum,
                       decimals, maximum, decimals);
}

} // namespace burdockhead
