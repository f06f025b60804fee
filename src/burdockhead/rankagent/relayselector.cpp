#include <burdockhead/rankagent/relayselector.h>

#include <algorithm>

namespace burdockhead {

namespace {

// How long a gateway that didn't reply is skipped: VMs freeze or restart for some seconds.
constexpr Milliseconds skipDuration{5000};

} // namespace

std::optional<SocketAddress> RelaySelector::choose(TimePoint now) const
{
    const auto available =
        std::find_if(m_gateways.begin(), m_gateways.end(), [&](const SocketAddress &gateway) {
            const auto skipped = m_skippedUntil.find(gateway);
            return skipped == m_skippedUntil.end() || now >= skipped->second;
        });
    return available == m_gateways.end() ? std::nullopt : std::optional(*available);
}

void RelaySelector::recordFailure(const SocketAddress &gateway, TimePoint now)
{
    m_skippedUntil[gateway] = now + skipDuration;
}

} // namespace burdockhead
