#include <burdockhead/admission/unconfirmedwindow.h>

namespace burdockhead {

void UnconfirmedWindow::onStarted(const RequestId &id)
{
    m_unconfirmed[id] = m_lastProbeNumber;
}

void UnconfirmedWindow::onConfirmed(const RequestId &id)
{
    m_unconfirmed.erase(id);
}

std::uint64_t UnconfirmedWindow::startProbe()
{
    m_isProbeOutstanding = true;
    return ++m_lastProbeNumber;
}

bool UnconfirmedWindow::onProbeResponse(std::uint64_t probeNumber)
{
    if (!m_isProbeOutstanding || probeNumber != m_lastProbeNumber)
        return false;
    m_isProbeOutstanding = false;
    std::erase_if(m_unconfirmed,
                  [probeNumber](const auto &item) { return item.second < probeNumber; });
    return true;
}

} // namespace burdockhead
