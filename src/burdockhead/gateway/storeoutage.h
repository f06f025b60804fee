#pragma once

#include <burdockhead/gateway/storedialect.h>

#include <optional>

namespace burdockhead {

// One process's view of an outage of the store. Its followers fail together; the first one to
// fail tries the store again, and the others wait for it. Answers the load pattern of an outage
// in which every refused call of every follower is paid for.
class StoreOutage
{
public:
    // A follower's call has failed.
    void noteFailure(StoreKind follower)
    {
        if (!m_prober)
            m_prober = follower;
    }

    // A follower's call was answered, or it no longer follows.
    void noteEnd() { m_prober.reset(); }

    // Whether the follower may call the store.
    bool mayCall(StoreKind follower) const { return !m_prober || *m_prober == follower; }

private:
    std::optional<StoreKind> m_prober;
};

} // namespace burdockhead
