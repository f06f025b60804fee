#pragma once

#include <burdockhead/routing/replicachooser.h>

namespace burdockhead {

// Chooses the permitted replica with the fewest requests in its last load report; the first of
// several. Replicas without a report count as idle.
class LeastReportedLoadChooser : public ReplicaChooser
{
public:
    std::optional<ReplicaIndex> choose(const ChoiceContext &context, Random &random) override;
};

} // namespace burdockhead
