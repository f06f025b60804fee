#include <burdockhead/rankagent/ranksampler.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace burdockhead {

namespace {

// Consecutive empty readings after which a rank is skipped: the first one only sets the baseline,
// and a rank may by chance process no prompt between two readings.
constexpr unsigned emptyReadingsBeforeSkip = 4;
// A data centre is taken out for some seconds or longer.
constexpr Milliseconds skipDuration{5000};
// Fractional part of the golden ratio; its multiples spread any number of ranks evenly.
constexpr double goldenRatioFraction = 0.6180339887;

double spreadPosition(std::uint32_t rank)
{
    const double multiple = rank * goldenRatioFraction;
    return multiple - std::floor(multiple);
}

} // namespace

void RankSampler::recordReading(std::uint32_t rank, bool hasCounted, TimePoint now)
{
    RankHistory &history = m_histories[rank];
    history.m_consecutiveEmpty = hasCounted ? 0 : history.m_consecutiveEmpty + 1;
    if (history.m_consecutiveEmpty < emptyReadingsBeforeSkip)
        return;
    history.m_consecutiveEmpty = 0;
    history.m_skippedUntil = now + skipDuration;
}

std::vector<std::uint32_t> RankSampler::choose(const std::vector<std::uint32_t> &ranks,
                                               std::size_t maxRanks, TimePoint now) const
{
    const auto sortKey = [&](std::uint32_t rank) {
        const auto history = m_histories.find(rank);
        const bool isSkipped = history != m_histories.end() && now < history->second.m_skippedUntil;
        return std::tuple(isSkipped, spreadPosition(rank), rank);
    };
    std::vector<std::uint32_t> chosen = ranks;
    std::sort(chosen.begin(), chosen.end(), [&](std::uint32_t left, std::uint32_t right) {
        return sortKey(left) < sortKey(right);
    });
    chosen.resize(std::min(chosen.size(), maxRanks));
    return chosen;
}

} // namespace burdockhead
