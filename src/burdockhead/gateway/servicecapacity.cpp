#include <burdockhead/gateway/servicecapacity.h>

#include <algorithm>

namespace burdockhead {

double concurrencyShare(double requests, const ServiceCapacity &capacity, double ownRequests)
{
    const double total = ownRequests + capacity.m_requestsElsewhere
                         + ownRequests * static_cast<double>(capacity.m_unknownGateways);
    if (total > requests)
        return requests * ownRequests / total;
    const auto gateways = static_cast<double>(std::max<std::size_t>(capacity.m_gateways, 1));
    return ownRequests + (requests - total) / gateways;
}

} // namespace burdockhead
