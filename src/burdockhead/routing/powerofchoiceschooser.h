#pragma once

#include <burdockhead/routing/replicachooser.h>

namespace burdockhead {

// Scores a few candidates and chooses the best: random samples, probable holders of the prefix and
// its replicas on the consistent-hash ring. Considers all replicas only if none of these is
// permitted.
class PowerOfChoicesChooser : public ReplicaChooser
{
public:
    std::optional<ReplicaIndex> choose(const ChoiceContext &context, Random &random) override;
};

} // namespace burdockhead
