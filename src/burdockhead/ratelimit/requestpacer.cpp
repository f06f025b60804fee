#include <burdockhead/ratelimit/requestpacer.h>

#include <algorithm>

namespace burdockhead {

namespace {

// A level that differs by less is the same; it is computed from many small steps.
constexpr double levelTolerance = 1e-6;

} // namespace

double RequestPacer::level(TimePoint now) const
{
    if (!m_pace)
        return 0;
    const double elapsed = std::chrono::duration<double>(now - m_updatedAt).count();
    return std::max(0.0, m_level - elapsed * m_pace->m_requestsPerSecond);
}

void RequestPacer::setPace(const std::optional<RequestPace> &pace, TimePoint now)
{
    if (pace && m_pace) {
        m_level = std::min(level(now), pace->m_capacity);
    } else if (pace) {
        ++m_paces;
        m_open = 0;
        m_level = pace->m_capacity;
    }
    m_updatedAt = now;
    m_pace = pace;
}

bool RequestPacer::allows(TimePoint now) const
{
    if (!m_pace)
        return true;
    return m_pace->m_requestsPerSecond > 0
           && level(now) + static_cast<double>(m_open) + 1 <= m_pace->m_capacity + levelTolerance;
}

std::uint64_t RequestPacer::begin()
{
    if (!m_pace)
        return 0;
    ++m_open;
    return m_paces;
}

void RequestPacer::end(std::uint64_t ticket, TimePoint now)
{
    if (!m_pace || ticket != m_paces)
        return;
    --m_open;
    m_level = level(now) + 1;
    m_updatedAt = now;
}

void RequestPacer::cancel(std::uint64_t ticket)
{
    if (m_pace && ticket == m_paces)
        --m_open;
}

} // namespace burdockhead
