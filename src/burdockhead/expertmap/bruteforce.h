#pragma once

#include <burdockhead/expertmap/grouploads.h>

namespace burdockhead {

// The least skew over all placements of one layer, by trying each of them. The number of
// placements is the number of slot contents of a rank to the power of the ranks.
double bruteForceSkew(const LayerLoads &loads, const GroupShape &shape);

} // namespace burdockhead
