#pragma once

#include <string>
#include <vector>

namespace burdockhead {

// Returns the quantile at this fraction of the values; 0 without values.
double quantile(std::vector<double> values, double fraction);

// Formats the median with minimum and maximum, such as "12.0 (11.5..12.3)".
std::string medianAndSpread(const std::vector<double> &values, int decimals);

} // namespace burdockhead
