#include <burdockhead/admission/servicetimes.h>

namespace burdockhead {

namespace {

constexpr int smoothing = 8;               // A new run counts for one part in this many.
constexpr std::size_t longestTable = 1024; // Kinds; more are only counted in the mean.

void approach(Duration &mean, Duration ran)
{
    mean = mean == Duration::zero() ? ran : mean + (ran - mean) / smoothing;
}

} // namespace

void ServiceTimes::add(const KindName &kind, Duration ran)
{
    approach(m_mean, ran);
    if (m_byKind.size() < longestTable || m_byKind.contains(kind))
        approach(m_byKind[kind], ran);
}

Duration ServiceTimes::mean(const KindName &kind) const
{
    const auto found = m_byKind.find(kind);
    return found == m_byKind.end() ? m_mean : found->second;
}

} // namespace burdockhead
