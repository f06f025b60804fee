#include <burdockhead/admission/servicetimeestimator.h>

namespace burdockhead {

namespace {

constexpr int smoothingDivisor = 8;    // A new sample has a weight of one in this many.
constexpr std::size_t maxKinds = 1024; // Further kinds count only in the overall average.

void updateAverage(Duration &average, Duration duration)
{
    average =
        average == Duration::zero() ? duration : average + (duration - average) / smoothingDivisor;
}

} // namespace

void ServiceTimeEstimator::add(const KindName &kind, Duration duration)
{
    updateAverage(m_average, duration);
    if (m_averageByKind.size() < maxKinds || m_averageByKind.contains(kind))
        updateAverage(m_averageByKind[kind], duration);
}

Duration ServiceTimeEstimator::average(const KindName &kind) const
{
    const auto found = m_averageByKind.find(kind);
    return found == m_averageByKind.end() ? m_average : found->second;
}

} // namespace burdockhead
