#pragma once

#include <burdockhead/gateway/storeprotocol.h>

#include <optional>

namespace burdockhead {

// State of a store outage, shared by the followers of one process, which fail together. The first
// follower to fail probes the store while the others wait, since each refused call of each follower
// is charged.
class StoreOutage
{
public:
    // Registers a failed call.
    void onFailure(StoreCollection follower)
    {
        if (!m_probingFollower)
            m_probingFollower = follower;
    }

    // Ends the outage after a call succeeded, or because the follower has stopped.
    void clear() { m_probingFollower.reset(); }

    bool isActive() const { return m_probingFollower.has_value(); }

    // Returns whether the follower may call the store.
    bool mayCall(StoreCollection follower) const
    {
        return !m_probingFollower || *m_probingFollower == follower;
    }

private:
    std::optional<StoreCollection> m_probingFollower;
};

} // namespace burdockhead
