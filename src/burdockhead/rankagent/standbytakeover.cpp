#include <burdockhead/rankagent/standbytakeover.h>

#include <algorithm>

namespace burdockhead {

namespace {

// The coordinator polls the standbys in each round, several times a second; each further standby
// waits one takeoverStagger longer.
constexpr Milliseconds takeoverTimeout{1500};
// During a change the unresponsive coordinator may have the group held.
constexpr Milliseconds changeTakeoverTimeout{400};
constexpr Milliseconds takeoverStagger{600};

} // namespace

TimePoint takeoverTime(const RankSnapshot &snapshot, TimePoint lastPolledAt)
{
    const int standbysBefore = static_cast<int>(snapshot.m_rank) - 1;
    return lastPolledAt + (snapshot.isChangingMap() ? changeTakeoverTimeout : takeoverTimeout)
           + takeoverStagger * standbysBefore;
}

std::vector<std::uint32_t> countRoundRanks(const std::vector<std::uint32_t> &sampled,
                                           const std::vector<std::uint32_t> &known)
{
    std::vector<std::uint32_t> polled = sampled;
    for (const std::uint32_t rank : known) {
        if (rank <= lastStandbyRank
            && std::find(sampled.begin(), sampled.end(), rank) == sampled.end())
            polled.push_back(rank);
    }
    return polled;
}

} // namespace burdockhead
