#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/expertmap/grouploads.h>

namespace burdockhead {

// Counts the tokens that go to each expert; what is one half-life old counts half.
class ExpertPopularity
{
public:
    ExpertPopularity(std::size_t layers, std::size_t experts, Duration halfLife);

    // Adds tokens that an expert got. Counts outside the group are ignored; an earlier time
    // point than the last counts as the last.
    void add(std::size_t layer, std::size_t expert, double tokens, TimePoint now);

    // The decayed counts.
    const GroupLoads &loads() const { return m_loads; }

private:
    void decay(TimePoint now);

    Duration m_halfLife;
    GroupLoads m_loads;
    TimePoint m_decayedAt;
};

} // namespace burdockhead
