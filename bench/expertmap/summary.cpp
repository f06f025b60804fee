#include "summary.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace burdockhead {

double meanOf(const std::vector<double> &values)
{
    if (values.empty())
        return 0;
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double quantileOf(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(fraction * last))];
}

std::string medianAndRange(const std::vector<double> &values, int decimals)
{
    return fmt::format("{:.{}f} ({:.{}f}-{:.{}f})", quantileOf(values, 0.5), decimals,
                       quantileOf(values, 0), decimals, quantileOf(values, 1), decimals);
}

} // namespace burdockhead
