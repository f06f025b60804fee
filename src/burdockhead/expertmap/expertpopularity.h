#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/expertmap/grouploads.h>

namespace burdockhead {

// Token counts per expert with exponential decay of the given half-life.
class ExpertPopularity
{
public:
    ExpertPopularity(std::size_t layers, std::size_t experts, Duration halfLife);

    // Adds tokens routed to an expert. Unknown layers and experts are ignored; a time before the
    // last one counts as the last one.
    void add(std::size_t layer, std::size_t expert, double tokens, TimePoint now);

    // Returns the decayed counts.
    const GroupLoads &loads() const { return m_loads; }

private:
    void decay(TimePoint now);

    Duration m_halfLife;
    GroupLoads m_loads;
    TimePoint m_decayedAt;
};

} // namespace burdockhead
