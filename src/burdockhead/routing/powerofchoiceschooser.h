#pragma once

#include <burdockhead/routing/replicachooser.h>

namespace burdockhead {

// Scores a few replicas and takes the best: some drawn at random, the prefix's probable
// holders and its homes on the hash ring. Looks at all only when none of these is permitted.
class PowerOfChoicesChooser : public ReplicaChooser
{
public:
    std::optional<ReplicaIndex> choose(const ChoiceContext &context, Random &random) override;
};

} // namespace burdockhead
