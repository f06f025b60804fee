#include <burdockhead/rankagent/ranksampler.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace burdockhead {

namespace {

// Readings without a count in a row after which a rank is passed over: the first one only sets
// the mark, and between two a rank may by chance have read no prompt.
constexpr unsigned emptyBeforePassed = 4;
// How long a rank is passed over then; a data centre is taken out for some seconds or longer.
constexpr Milliseconds passedOverFor{5000};
// The golden ratio's fraction: its multiples spread any number of first ranks evenly.
constexpr double spreadStep = 0.6180339887;

double placeInSpread(std::uint32_t rank)
{
    const double multiple = rank * spreadStep;
    return multiple - std::floor(multiple);
}

} // namespace

void RankSampler::note(std::uint32_t rank, bool hasCounted, TimePoint now)
{
    RankNote &noted = m_notes[rank];
    noted.m_emptyInRow = hasCounted ? 0 : noted.m_emptyInRow + 1;
    if (noted.m_emptyInRow < emptyBeforePassed)
        return;
    noted.m_emptyInRow = 0;
    noted.m_passedOverUntil = now + passedOverFor;
}

std::vector<std::uint32_t> RankSampler::choose(const std::vector<std::uint32_t> &ranks,
                                               std::size_t most, TimePoint now) const
{
    const auto order = [&](std::uint32_t rank) {
        const auto noted = m_notes.find(rank);
        const bool isPassed = noted != m_notes.end() && now < noted->second.m_passedOverUntil;
        return std::tuple(isPassed, placeInSpread(rank), rank);
    };
    std::vector<std::uint32_t> chosen = ranks;
    std::sort(chosen.begin(), chosen.end(),
              [&](std::uint32_t left, std::uint32_t right) { return order(left) < order(right); });
    chosen.resize(std::min(chosen.size(), most));
    return chosen;
}

} // namespace burdockhead
