#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/routing/choicecontext.h>
#include <burdockhead/routing/routeroptions.h>

#include <memory>
#include <optional>

namespace burdockhead {

// Strategy for choosing one of the permitted replicas.
class ReplicaChooser
{
public:
    virtual ~ReplicaChooser() = default;

    // Returns a permitted replica; none only if no replica is permitted.
    virtual std::optional<ReplicaIndex> choose(const ChoiceContext &context, Random &random) = 0;

    // Creates a chooser of the given type.
    static std::unique_ptr<ReplicaChooser> create(ChooserType type);
};

} // namespace burdockhead
