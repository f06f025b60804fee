#pragma once

#include "faultyproxy.h"
#include "soakplan.h"
#include "storestandin.h"

namespace burdockhead::test {

// Faults of a store and of the proxy before it.
class StoreFaults
{
public:
    StoreFaults(StoreStandIn &store, FaultyProxy &proxy)
        : m_store(store)
        , m_proxy(proxy)
    {}

    static bool contains(FaultType type)
    {
        return type >= FaultType::SilenceStore && type <= FaultType::CutStore;
    }

    void begin(const Fault &fault);
    void end(const Fault &fault);

private:
    StoreStandIn &m_store;
    FaultyProxy &m_proxy;
};

} // namespace burdockhead::test
