#pragma once

#include <burdockhead/gateway/storeprotocol.h>

#include <optional>

namespace burdockhead {

// One process's view of an outage of the store. Its followers fail together; the first one to
// fail tries the store again, and the others wait for it. Answers the load pattern of an outage
// in which every refused call of every follower is paid for.
class StoreOutage
{
public:
    // A follower's call has failed.
    void onFailure(StoreCollection follower)
    {
        if (!m_probingFollower)
            m_probingFollower = follower;
    }

    // A follower's call was answered, or it no longer follows.
    void clear() { m_probingFollower.reset(); }

    // Whether the follower may call the store.
    bool mayCall(StoreCollection follower) const
    {
        return !m_probingFollower || *m_probingFollower == follower;
    }

private:
    std::optional<StoreCollection> m_probingFollower;
};

} // namespace burdockhead
