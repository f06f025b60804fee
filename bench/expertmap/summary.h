#pragma once

#include <string>
#include <vector>

namespace burdockhead {

// Returns the mean; 0 without values.
double meanOf(const std::vector<double> &values);

// Returns a quantile, given as a fraction from 0 to 1; 0 without values.
double quantileOf(std::vector<double> values, double fraction);

// Formats median and range as "median (min-max)" with the given number of decimals.
std::string medianAndRange(const std::vector<double> &values, int decimals);

} // namespace burdockhead
