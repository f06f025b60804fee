#pragma once

#include <string>
#include <vector>

namespace burdockhead {

// The value below which this part of the sorted values lies; 0 without values.
double quantile(std::vector<double> values, double fraction);

// The median with the spread from the least to the greatest, such as "12.0 (11.5..12.3)".
std::string medianAndSpread(const std::vector<double> &values, int decimals);

} // namespace burdockhead
