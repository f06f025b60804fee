#pragma once

#include <burdockhead/routing/replicachooser.h>

#include <cstddef>

namespace burdockhead {

// Chooses the permitted replicas in turn.
class RoundRobinChooser : public ReplicaChooser
{
public:
    std::optional<ReplicaIndex> choose(const ChoiceContext &context, Random &random) override;

private:
    std::size_t m_next = 0;
};

} // namespace burdockhead
