#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>

#include <map>
#include <optional>
#include <vector>

namespace burdockhead {

// Selects the gateway that relays the next order to hold the group. A VM may freeze right after
// such an order; without a relay a rank would freeze with it, and no map could change until the VM
// resumes.
class RelaySelector
{
public:
    explicit RelaySelector(std::vector<SocketAddress> gateways)
        : m_gateways(std::move(gateways))
    {}

    // Returns the first gateway that hasn't failed recently; none when all have.
    std::optional<SocketAddress> choose(TimePoint now) const;

    // Records that a gateway didn't reply.
    void recordFailure(const SocketAddress &gateway, TimePoint now);

private:
    std::vector<SocketAddress> m_gateways;
    std::map<SocketAddress, TimePoint> m_skippedUntil;
};

} // namespace burdockhead
