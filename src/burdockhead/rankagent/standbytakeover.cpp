#include <burdockhead/rankagent/standbytakeover.h>

#include <algorithm>

namespace burdockhead {

namespace {

// A deputy takes over after this silence of the coordinator, which asks the deputies in each
// round, some times a second; each further deputy somewhat later.
constexpr Milliseconds silence{1500};
// The same while a change is under way, in which a silent coordinator may have the group held.
constexpr Milliseconds changeSilence{400};
constexpr Milliseconds deputyStep{600};

} // namespace

TimePoint takesOverAt(const RankView &view, TimePoint askedAt)
{
    const int deputiesBefore = static_cast<int>(view.m_rank) - 1;
    return askedAt + (view.isInChange() ? changeSilence : silence) + deputyStep * deputiesBefore;
}

std::vector<std::uint32_t> ranksOfCountRound(const std::vector<std::uint32_t> &counted,
                                             const std::vector<std::uint32_t> &known)
{
    std::vector<std::uint32_t> asked = counted;
    for (const std::uint32_t rank : known) {
        if (rank <= lastDeputy && std::find(counted.begin(), counted.end(), rank) == counted.end())
            asked.push_back(rank);
    }
    return asked;
}

} // namespace burdockhead
