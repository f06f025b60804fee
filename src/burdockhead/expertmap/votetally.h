#pragma once

#include <burdockhead/expertmap/gatemessage.h>

#include <optional>
#include <vector>

namespace burdockhead {

// Collects the votes on one change and works out the verdict.
class VoteTally
{
public:
    VoteTally() = default;
    VoteTally(const MapChange &change, std::uint32_t rankCount);

    const MapChange &change() const { return m_change; }

    // Counts a vote; votes on other changes and from unknown ranks are ignored.
    void note(const SwitchVote &vote);

    // Whether the change goes live; none while that can't be told.
    std::optional<bool> verdict() const;

    // True when that rank's vote is not known yet.
    bool isMissing(std::uint32_t rank) const { return !m_promised[rank]; }

private:
    MapChange m_change;
    std::vector<bool> m_promised;
    std::uint32_t m_promiseCount = 0;
    bool m_refused = false;
};

} // namespace burdockhead
