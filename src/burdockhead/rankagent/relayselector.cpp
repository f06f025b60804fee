#include <burdockhead/rankagent/relayselector.h>

#include <algorithm>

namespace burdockhead {

namespace {

// How long a gateway that didn't answer is passed over: VMs freeze or start again for some seconds.
constexpr Milliseconds passedOverFor{5000};

} // namespace

std::optional<SocketAddress> RelaySelector::choose(TimePoint now) const
{
    const auto found =
        std::find_if(m_gateways.begin(), m_gateways.end(), [&](const SocketAddress &gateway) {
            const auto passed = m_passedOverUntil.find(gateway);
            return passed == m_passedOverUntil.end() || now >= passed->second;
        });
    return found == m_gateways.end() ? std::nullopt : std::optional(*found);
}

void RelaySelector::noteFailure(const SocketAddress &gateway, TimePoint now)
{
    m_passedOverUntil[gateway] = now + passedOverFor;
}

} // namespace burdockhead
