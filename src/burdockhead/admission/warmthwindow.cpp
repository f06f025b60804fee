#include <burdockhead/admission/warmthwindow.h>

namespace burdockhead {

void WarmthWindow::started(const RequestId &id)
{
    m_unconfirmed[id] = m_latestProbe;
}

void WarmthWindow::confirmed(const RequestId &id)
{
    m_unconfirmed.erase(id);
}

std::uint64_t WarmthWindow::probeAsked()
{
    m_probeOutstanding = true;
    return ++m_latestProbe;
}

bool WarmthWindow::probeAnswered(std::uint64_t probe)
{
    if (!m_probeOutstanding || probe != m_latestProbe)
        return false;
    m_probeOutstanding = false;
    std::erase_if(m_unconfirmed, [probe](const auto &item) { return item.second < probe; });
    return true;
}

} // namespace burdockhead
