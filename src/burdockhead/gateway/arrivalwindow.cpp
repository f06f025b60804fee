#include <burdockhead/gateway/arrivalwindow.h>

namespace burdockhead {

bool ArrivalWindow::allows(std::size_t limit, TimePoint now)
{
    return count(now) < limit;
}

std::size_t ArrivalWindow::count(TimePoint now)
{
    while (!m_times.empty() && m_times.front() + m_span <= now)
        m_times.pop_front();
    return m_times.size();
}

} // namespace burdockhead
