#pragma once

#include <burdockhead/expertmap/grouploads.h>

namespace burdockhead {

// Returns the lowest skew of any placement of one layer, by exhaustive search. The search space is
// the number of possible contents of a rank to the power of the number of ranks.
double bruteForceSkew(const LayerLoads &loads, const GroupShape &shape);

} // namespace burdockhead
