#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/routing/choicecontext.h>
#include <burdockhead/routing/routeroptions.h>

#include <memory>
#include <optional>

namespace burdockhead {

// Picks one of the replicas that a decision may choose.
class ReplicaChooser
{
public:
    virtual ~ReplicaChooser() = default;

    // A permitted replica; none only if no replica is permitted.
    virtual std::optional<ReplicaIndex> choose(const ChoiceContext &context, Random &random) = 0;

    // The chooser of a type.
    static std::unique_ptr<ReplicaChooser> create(ChooserType type);
};

} // namespace burdockhead
