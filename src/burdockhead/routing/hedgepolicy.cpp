#include <burdockhead/routing/hedgepolicy.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr unsigned minimumSamples = 50;
constexpr double quantile = 0.95;
constexpr double meanGain = 0.05;
constexpr double stepShare = 0.03;

} // namespace

void HedgePolicy::noteCompletion(const KindName &kind, Duration elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    Estimate &estimate = m_estimates[kind];
    if (estimate.m_samples == 0) {
        estimate.m_seconds = seconds;
        estimate.m_scale = seconds;
    }
    estimate.m_samples = std::min(estimate.m_samples + 1, minimumSamples);
    estimate.m_scale += (seconds - estimate.m_scale) * meanGain;
    // Steps up and down balance where one time in twenty is above the estimate.
    const double step = estimate.m_scale * stepShare;
    estimate.m_seconds += seconds > estimate.m_seconds ? step * quantile : -step * (1 - quantile);
    estimate.m_seconds = std::max(estimate.m_seconds, 0.0);
}

std::optional<TimePoint> HedgePolicy::slowAt(const KindName &kind, TimePoint dispatchedAt) const
{
    const auto found = m_estimates.find(kind);
    if (found == m_estimates.end() || found->second.m_samples < minimumSamples)
        return std::nullopt;
    const std::chrono::duration<double> delay(found->second.m_seconds);
    return dispatchedAt + std::chrono::duration_cast<Duration>(delay);
}

void HedgePolicy::retainKinds(const Configuration &configuration)
{
    std::erase_if(m_estimates, [&configuration](const auto &item) {
        return configuration.kind(item.first) == nullptr;
    });
}

} // namespace burdockhead
