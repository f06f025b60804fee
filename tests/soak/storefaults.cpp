#include "storefaults.h"

namespace burdockhead::test {

void StoreFaults::begin(const Fault &fault)
{
    switch (fault.m_type) {
    case FaultType::SilenceStore:
        m_store.setSilent(true);
        break;
    case FaultType::RefuseStore:
        m_store.setRefusal(fault.m_which % 2 == 0 ? 503 : 429);
        break;
    case FaultType::ForgetStore:
        m_store.setDeaf(true);
        break;
    default:
        m_proxy.setMode(fault.m_which % 2 == 0 ? ProxyMode::Silent : ProxyMode::DropAnswers);
        break;
    }
}

void StoreFaults::end(const Fault &fault)
{
    switch (fault.m_type) {
    case FaultType::SilenceStore:
        m_store.setSilent(false);
        break;
    case FaultType::RefuseStore:
        m_store.setRefusal(0);
        break;
    case FaultType::ForgetStore:
        m_store.setDeaf(false);
        m_store.forgetHistory();
        break;
    default:
        m_proxy.setMode(ProxyMode::Pass);
        m_proxy.resetAll();
        break;
    }
}

} // namespace burdockhead::test
