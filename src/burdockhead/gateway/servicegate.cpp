#include <burdockhead/gateway/servicegate.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Refusals in a row that show that the service, and not one endpoint, takes nothing.
constexpr unsigned refusalsBeforePause = 4;
// How long nothing is sent then; a group of ranks opens again within about this time.
constexpr Milliseconds refusalPause{300};
// While refusals go on, so many requests try at a time.
constexpr std::size_t trialsAtATime = 1;
// How much one request moves the usual time: the last ten or so count.
constexpr int weightOfOne = 10;

} // namespace

bool ServiceGate::mayStart(TimePoint now) const
{
    if (m_refusedInRow >= refusalsBeforePause)
        return now >= m_pausedUntil && m_running < std::min(m_window, trialsAtATime);
    return m_running < m_window;
}

void ServiceGate::noteEnded(Duration took, bool isServed)
{
    if (m_running > 0)
        --m_running;
    if (!isServed)
        return;
    m_refusedInRow = 0;
    m_usualTime = m_usualTime.count() == 0 ? took : m_usualTime + (took - m_usualTime) / weightOfOne;
}

void ServiceGate::noteRefused(TimePoint now)
{
    ++m_refusedInRow;
    if (m_refusedInRow >= refusalsBeforePause)
        m_pausedUntil = now + refusalPause;
}

Duration ServiceGate::expectedWait(std::size_t ahead) const
{
    const std::size_t window = std::max<std::size_t>(m_window, 1);
    return m_usualTime * static_cast<int>(ahead + 1) / static_cast<int>(window);
}

} // namespace burdockhead
