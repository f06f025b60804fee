#pragma once

#include <string>
#include <vector>

namespace burdockhead {

// The mean; 0 of no values.
double meanOf(const std::vector<double> &values);

// The value at that share of the sorted ones, from 0 to 1; 0 of no values.
double quantileOf(std::vector<double> values, double share);

// The median and the spread as "median (least-most)" with that many decimals.
std::string spreadOf(const std::vector<double> &values, int decimals);

} // namespace burdockhead
