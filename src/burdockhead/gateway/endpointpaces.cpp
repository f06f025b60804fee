#include <burdockhead/gateway/endpointpaces.h>

#include <map>
#include <vector>

namespace burdockhead {

namespace {

// Demand of a gateway without requests, so that it can serve its first.
constexpr double minDemand = 1;

} // namespace

EndpointPaces::EndpointPaces(EndpointTable &endpoints, const EndpointRates &rates,
                             const LoadTable &loads, const PeerTable &peers)
    : m_endpoints(endpoints)
    , m_rates(rates)
    , m_loads(loads)
    , m_peers(peers)
{}

// Gateways that report nothing are assumed to have as many requests as this one.
RateDivision EndpointPaces::division(const GroupName &service, TimePoint now) const
{
    const auto announced = m_loads.announcedArrivals(service, now);
    const GatewayDemand local = {m_peers.local().m_name,
                                 announced ? static_cast<double>(*announced) + minDemand : 0};
    const auto reported = m_loads.arrivalsElsewhere(service, now);
    std::vector<GatewayDemand> others;
    for (const ProcessName &name : m_peers.readyPeers(now)) {
        const auto found = reported.find(name);
        others.push_back({name, found == reported.end()
                                    ? local.m_requests
                                    : static_cast<double>(found->second) + minDemand});
    }
    return {local, others};
}

void EndpointPaces::update(TimePoint now)
{
    std::map<GroupName, RateDivision> divisions;
    for (const auto &[name, endpoint] : m_endpoints.endpoints()) {
        const EndpointRegistration &registration = endpoint->m_registration;
        const GroupName &service = registration.m_service;
        endpoint->m_namedRate = m_rates.rateOf({name, registration.m_startedAt});
        if (!endpoint->m_namedRate) {
            endpoint->m_pacer.setPace(std::nullopt, now);
            continue;
        }
        auto found = divisions.find(service);
        if (found == divisions.end())
            found = divisions.emplace(service, division(service, now)).first;
        endpoint->m_pacer.setPace(found->second.localPart(*endpoint->m_namedRate, name), now);
    }
}

} // namespace burdockhead
