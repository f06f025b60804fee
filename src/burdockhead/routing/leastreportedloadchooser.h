#pragma once

#include <burdockhead/routing/replicachooser.h>

namespace burdockhead {

// Takes the permitted replica whose last report names the fewest requests; the first of
// several. Replicas that never reported count as idle.
class LeastReportedLoadChooser : public ReplicaChooser
{
public:
    std::optional<ReplicaIndex> choose(const ChoiceContext &context, Random &random) override;
};

} // namespace burdockhead
