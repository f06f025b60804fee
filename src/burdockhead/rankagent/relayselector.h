#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>

#include <map>
#include <optional>
#include <vector>

namespace burdockhead {

// The gateway that passes on the next order to hold the group. Answers the load pattern of the VM
// that freezes with such an order: without a relay it takes a rank along, and no map can change
// until it is back.
class RelaySelector
{
public:
    explicit RelaySelector(std::vector<SocketAddress> gateways)
        : m_gateways(std::move(gateways))
    {}

    // The first that hasn't failed lately; none when all have.
    std::optional<SocketAddress> choose(TimePoint now) const;

    // Notes that a gateway didn't answer.
    void noteFailure(const SocketAddress &gateway, TimePoint now);

private:
    std::vector<SocketAddress> m_gateways;
    std::map<SocketAddress, TimePoint> m_passedOverUntil;
};

} // namespace burdockhead
