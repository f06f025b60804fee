#pragma once

#include <burdockhead/expertmap/mapchangemessage.h>

#include <optional>
#include <vector>

namespace burdockhead {

// Collects the votes on one change and determines its outcome.
class VoteTally
{
public:
    VoteTally() = default;
    VoteTally(const MapChange &change, std::uint32_t rankCount);

    const MapChange &change() const { return m_change; }

    // Adds a vote; votes on other changes and from unknown ranks are ignored.
    void addVote(const SwitchVote &vote);

    // Returns whether the change is committed; none while undetermined.
    std::optional<bool> outcome() const;

    // Returns true while no promise of the rank is known.
    bool isMissing(std::uint32_t rank) const { return !m_hasPromised[rank]; }

private:
    MapChange m_change;
    std::vector<bool> m_hasPromised;
    std::uint32_t m_promiseCount = 0;
    bool m_isRefused = false;
};

} // namespace burdockhead
