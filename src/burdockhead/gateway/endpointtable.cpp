#include <burdockhead/gateway/endpointtable.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Requests in flight that a share of failures of 1 counts as: an endpoint that fails always
// is taken only when the others are about full.
constexpr double failureHandicap = 12;

// Gateways that first use one endpoint. Each sees an eighth of its requests then, and one that
// fails leaves the others.
constexpr std::size_t gatewaysOnEndpoint = 8;
// Fewer endpoints than this are not divided.
constexpr std::size_t leastDivided = 8;

// The endpoints that the gateway of that place first uses: a window of the ring of all.
std::vector<KnownEndpointPointer> ownPart(const std::vector<KnownEndpointPointer> &all,
                                          const GatewayPosition &place)
{
    const std::size_t size = std::max<std::size_t>(place.m_count, 1);
    const std::size_t first = place.m_index * all.size() / size;
    const std::size_t count =
        std::min(all.size(), (gatewaysOnEndpoint * all.size() + size - 1) / size);
    std::vector<KnownEndpointPointer> part;
    for (std::size_t index = 0; index < count; ++index)
        part.push_back(all[(first + index) % all.size()]);
    return part;
}

double score(const KnownEndpoint &endpoint)
{
    const double load = endpoint.m_inFlight + failureHandicap * endpoint.m_breaker.failureRate();
    return load / std::max(1U, endpoint.m_entry.m_slots);
}

void erase(std::vector<KnownEndpointPointer> &endpoints, const KnownEndpointPointer &endpoint)
{
    endpoints.erase(std::remove(endpoints.begin(), endpoints.end(), endpoint), endpoints.end());
}

} // namespace

EndpointTable::EndpointTable(Random seed)
    : m_random(seed)
{}

bool EndpointTable::update(const EndpointEntry &entry)
{
    KnownEndpointPointer &known = m_endpoints[entry.m_name];
    const bool isNew = !known || known->m_entry.m_startedAt != entry.m_startedAt
                       || known->m_entry.m_address != entry.m_address
                       || known->m_entry.m_service != entry.m_service;
    if (isNew) {
        if (known)
            erase(m_byService[known->m_entry.m_service], known);
        auto next = std::make_shared<KnownEndpoint>();
        // The bound on arrivals holds over a restart: a cold endpoint has just done that.
        if (known)
            next->m_recentRequests = known->m_recentRequests;
        known = next;
        m_byService[entry.m_service].push_back(known);
    }
    known->m_entry = entry;
    known->m_usableUntil = TimePoint::max();
    if (isNew)
        markReplaced(known);
    return isNew;
}

// Of the endpoints with one address only that which started last can be there. The entries of
// the others stay in service discovery for seconds after a crash or a loss of power.
void EndpointTable::markReplaced(const KnownEndpointPointer &endpoint)
{
    const EndpointEntry &entry = endpoint->m_entry;
    if (entry.m_startedAt == 0)
        return;
    for (const auto &[name, other] : m_endpoints) {
        if (other == endpoint || other->m_entry.m_address != entry.m_address
            || other->m_entry.m_startedAt == 0)
            continue;
        if (other->m_entry.m_startedAt < entry.m_startedAt)
            other->m_isReplaced = true;
        else if (other->m_entry.m_startedAt > entry.m_startedAt)
            endpoint->m_isReplaced = true;
    }
}

void EndpointTable::remove(const EndpointName &name, TimePoint usableUntil)
{
    const auto found = m_endpoints.find(name);
    if (found != m_endpoints.end())
        found->second->m_usableUntil = std::min(found->second->m_usableUntil, usableUntil);
}

void EndpointTable::removeExpired(TimePoint now)
{
    for (auto item = m_endpoints.begin(); item != m_endpoints.end();) {
        if (item->second->m_usableUntil > now) {
            ++item;
            continue;
        }
        erase(m_byService[item->second->m_entry.m_service], item->second);
        item = m_endpoints.erase(item);
    }
}

void EndpointTable::setDataCentreOut(const DataCentreName &name, bool isOut)
{
    if (isOut)
        m_dataCentresOut.insert(name);
    else
        m_dataCentresOut.erase(name);
}

bool EndpointTable::isUsable(const KnownEndpoint &endpoint, TimePoint now) const
{
    return !endpoint.m_entry.m_isLeaving && !endpoint.m_isReplaced && now < endpoint.m_usableUntil
           && !m_dataCentresOut.contains(endpoint.m_entry.m_dataCentre);
}

// The endpoints that may get requests, in the order of their names.
std::vector<KnownEndpointPointer> EndpointTable::usableEndpoints(const GroupName &service,
                                                                 TimePoint now) const
{
    std::vector<KnownEndpointPointer> usable;
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return usable;
    for (const auto &endpoint : found->second) {
        if (isUsable(*endpoint, now))
            usable.push_back(endpoint);
    }
    std::sort(usable.begin(), usable.end(), [](const auto &left, const auto &right) {
        return left->m_entry.m_name < right->m_entry.m_name;
    });
    return usable;
}

KnownEndpointPointer EndpointTable::select(const EndpointCriteria &request, TimePoint now)
{
    const std::vector<KnownEndpointPointer> all = usableEndpoints(request.m_service, now);
    if (request.m_position && all.size() > leastDivided) {
        KnownEndpointPointer chosen = leastLoaded(ownPart(all, *request.m_position), request, now);
        if (chosen && chosen->m_inFlight * gatewaysOnEndpoint <= chosen->m_entry.m_slots)
            return chosen;
    }
    return leastLoaded(all, request, now);
}

KnownEndpointPointer EndpointTable::leastLoaded(const std::vector<KnownEndpointPointer> &candidates,
                                                const EndpointCriteria &request, TimePoint now)
{
    KnownEndpointPointer best;
    if (candidates.empty())
        return best;
    // Equal ones are taken from a random place on, so that gateways don't agree on one.
    const std::size_t offset = m_random() % candidates.size();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto &candidate = candidates[(index + offset) % candidates.size()];
        if (!candidate->m_breaker.allows(now))
            continue;
        if (std::find(request.m_excluded.begin(), request.m_excluded.end(),
                      candidate->m_entry.m_name)
            != request.m_excluded.end())
            continue;
        if (best && score(*best) <= score(*candidate))
            continue;
        if (request.m_maxPerSecond > 0
            && !candidate->m_recentRequests.allows(request.m_maxPerSecond, now))
            continue;
        best = candidate;
    }
    return best;
}

void EndpointTable::onRequestSent(KnownEndpoint &endpoint, TimePoint now)
{
    ++endpoint.m_inFlight;
    endpoint.m_recentRequests.record(now);
    endpoint.m_breaker.onRequestSent(now);
}

void EndpointTable::onRequestEnded(KnownEndpoint &endpoint)
{
    if (endpoint.m_inFlight > 0)
        --endpoint.m_inFlight;
}

unsigned EndpointTable::usableSlots(const GroupName &service, TimePoint now) const
{
    unsigned slots = 0;
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return slots;
    for (const auto &endpoint : found->second) {
        if (isUsable(*endpoint, now))
            slots += endpoint->m_entry.m_slots;
    }
    return slots;
}

std::size_t EndpointTable::usableCount(const GroupName &service, TimePoint now) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(),
                      [&](const auto &endpoint) { return isUsable(*endpoint, now); }));
}

KnownEndpointPointer EndpointTable::find(const EndpointName &name) const
{
    const auto found = m_endpoints.find(name);
    return found == m_endpoints.end() ? nullptr : found->second;
}

} // namespace burdockhead
