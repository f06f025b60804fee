#pragma once

#include <random>

namespace burdockhead {

// The seeded generator that decision classes draw from. Processes seed it from the
// system; tests and benchmarks from a fixed number.
using Random = std::mt19937_64;

} // namespace burdockhead
