#include <burdockhead/routing/hedgepolicy.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr unsigned minimumSamples = 50;
constexpr double hedgeQuantile = 0.95;
constexpr double smoothingFactor = 0.05;
constexpr double stepFraction = 0.03;

} // namespace

void HedgePolicy::recordCompletion(const KindName &kind, Duration elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    Estimate &estimate = m_estimates[kind];
    if (estimate.m_samples == 0) {
        estimate.m_quantileSeconds = seconds;
        estimate.m_averageSeconds = seconds;
    }
    estimate.m_samples = std::min(estimate.m_samples + 1, minimumSamples);
    estimate.m_averageSeconds += (seconds - estimate.m_averageSeconds) * smoothingFactor;
    // Up and down steps balance where 1 in 20 durations exceeds the estimate.
    const double step = estimate.m_averageSeconds * stepFraction;
    estimate.m_quantileSeconds +=
        seconds > estimate.m_quantileSeconds ? step * hedgeQuantile : -step * (1 - hedgeQuantile);
    estimate.m_quantileSeconds = std::max(estimate.m_quantileSeconds, 0.0);
}

std::optional<TimePoint> HedgePolicy::hedgeTime(const KindName &kind, TimePoint dispatchedAt) const
{
    const auto found = m_estimates.find(kind);
    if (found == m_estimates.end() || found->second.m_samples < minimumSamples)
        return std::nullopt;
    const std::chrono::duration<double> delay(found->second.m_quantileSeconds);
    return dispatchedAt + std::chrono::duration_cast<Duration>(delay);
}

void HedgePolicy::retainKinds(const Configuration &configuration)
{
    std::erase_if(m_estimates, [&configuration](const auto &item) {
        return configuration.kind(item.first) == nullptr;
    });
}

} // namespace burdockhead
