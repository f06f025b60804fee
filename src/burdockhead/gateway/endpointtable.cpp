#include <burdockhead/gateway/endpointtable.h>
#include <burdockhead/quarantine/isolation.h>

#include <algorithm>
#include <utility>

namespace burdockhead {

namespace {

// Requests in flight that a failure rate of 1 counts as: an endpoint that always fails is selected
// only when the others are about full.
constexpr double failurePenalty = 12;

// Former endpoints that are remembered, and for how long: longer than any pause that is kept to.
constexpr std::size_t maxFormerEndpoints = 1024;
constexpr Milliseconds formerEndpointTime{3900000};

// Gateways that prefer the same endpoint. Each of them sees an eighth of its requests, and a
// gateway that fails leaves the others.
constexpr std::size_t gatewaysPerEndpoint = 8;
// With no more endpoints than this, gateways prefer no subset.
constexpr std::size_t maxUndividedEndpoints = 8;

// Returns the subset that the gateway at that position prefers: a contiguous range of the ring of
// all endpoints.
std::vector<KnownEndpointPointer>
preferredSubset(const std::vector<KnownEndpointPointer> &allEndpoints,
                const GatewayPosition &position)
{
    const std::size_t gatewayCount = std::max<std::size_t>(position.m_count, 1);
    const std::size_t first = position.m_index * allEndpoints.size() / gatewayCount;
    const std::size_t count =
        std::min(allEndpoints.size(),
                 (gatewaysPerEndpoint * allEndpoints.size() + gatewayCount - 1) / gatewayCount);
    std::vector<KnownEndpointPointer> subset;
    for (std::size_t index = 0; index < count; ++index)
        subset.push_back(allEndpoints[(first + index) % allEndpoints.size()]);
    return subset;
}

void erase(std::vector<KnownEndpointPointer> &endpoints, const KnownEndpointPointer &endpoint)
{
    endpoints.erase(std::remove(endpoints.begin(), endpoints.end(), endpoint), endpoints.end());
}

} // namespace

// A run that doesn't tell its start is known by its address.
bool isSameRun(const EndpointRegistration &left, const EndpointRegistration &right)
{
    return left.m_name == right.m_name && left.m_startedAt == right.m_startedAt
           && (left.m_startedAt != 0 || left.m_address == right.m_address);
}

bool isSameInstance(const EndpointRegistration &left, const EndpointRegistration &right)
{
    return isSameRun(left, right) && left.m_address == right.m_address
           && left.m_service == right.m_service;
}

EndpointTable::EndpointTable(Random seed)
    : m_random(seed)
{}

bool EndpointTable::update(const EndpointRegistration &registration)
{
    KnownEndpointPointer &current = m_endpoints[registration.m_name];
    const bool isNewInstance = !current || !isSameInstance(current->m_registration, registration);
    if (isNewInstance) {
        if (current) {
            erase(m_byService[current->m_registration.m_service], current);
            // An older copy of the store may show the earlier run again.
            m_formerEndpoints.push_back({current, TimePoint::max()});
        }
        KnownEndpointPointer instance = takeFormer(registration);
        if (!instance)
            instance = std::make_shared<KnownEndpoint>();
        // The rate limit persists over a restart: a cold endpoint has just restarted.
        if (current)
            instance->m_recentRequests = current->m_recentRequests;
        current = instance;
        m_byService[registration.m_service].push_back(current);
    }
    current->m_registration = registration;
    current->m_usableUntil = TimePoint::max();
    if (isNewInstance)
        markReplaced(current);
    return isNewInstance;
}

// Returns what is known of that run from an earlier registration; null if nothing is.
KnownEndpointPointer EndpointTable::takeFormer(const EndpointRegistration &registration)
{
    const auto found = std::find_if(
        m_formerEndpoints.begin(), m_formerEndpoints.end(), [&](const FormerEndpoint &former) {
            return isSameRun(former.m_endpoint->m_registration, registration);
        });
    if (found == m_formerEndpoints.end())
        return nullptr;
    KnownEndpointPointer endpoint = found->m_endpoint;
    m_formerEndpoints.erase(found);
    endpoint->m_usableFrom = TimePoint::min();
    endpoint->m_isReplaced = false;
    return endpoint;
}

// Of several endpoints with one address, only the one started last can be running. Registrations of
// the others stay in service discovery for seconds after a crash or a loss of power.
void EndpointTable::markReplaced(const KnownEndpointPointer &endpoint)
{
    const EndpointRegistration &registration = endpoint->m_registration;
    if (registration.m_startedAt == 0)
        return;
    for (const auto &[name, other] : m_endpoints) {
        if (other == endpoint || other->m_registration.m_address != registration.m_address
            || other->m_registration.m_startedAt == 0)
            continue;
        if (other->m_registration.m_startedAt < registration.m_startedAt)
            other->m_isReplaced = true;
        else if (other->m_registration.m_startedAt > registration.m_startedAt)
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
        erase(m_byService[item->second->m_registration.m_service], item->second);
        m_formerEndpoints.push_back({item->second, now + formerEndpointTime});
        item = m_endpoints.erase(item);
    }
    std::erase_if(m_formerEndpoints,
                  [now](const FormerEndpoint &former) { return former.m_forgottenAt <= now; });
    while (m_formerEndpoints.size() > maxFormerEndpoints)
        m_formerEndpoints.pop_front();
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
    return !endpoint.m_registration.m_isLeaving && !endpoint.m_saysLeaving && !endpoint.m_isReplaced
           && now >= endpoint.m_usableFrom && now < endpoint.m_usableUntil
           && !m_dataCentresOut.contains(endpoint.m_registration.m_dataCentre);
}

// Returns the usable endpoints, ordered by name.
std::vector<KnownEndpointPointer> EndpointTable::usableEndpoints(const GroupName &service,
                                                                 TimePoint now) const
{
    std::vector<KnownEndpointPointer> matches;
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return matches;
    for (const auto &endpoint : found->second) {
        if (isUsable(*endpoint, now))
            matches.push_back(endpoint);
    }
    std::sort(matches.begin(), matches.end(), [](const auto &left, const auto &right) {
        return left->m_registration.m_name < right->m_registration.m_name;
    });
    return matches;
}

double EndpointTable::slownessOf(const KnownEndpoint &endpoint) const
{
    const auto found = m_slowness.find(endpoint.m_registration.m_address);
    return found == m_slowness.end() ? 1 : found->second;
}

// Returns the load with a further request, per slot of a healthy endpoint.
double EndpointTable::relativeLoad(const KnownEndpoint &endpoint) const
{
    const double requests =
        endpoint.m_inFlight + 1 + failurePenalty * endpoint.m_breaker.failureRate();
    return requests * slownessOf(endpoint) / std::max(1U, endpoint.m_registration.m_slots);
}

KnownEndpointPointer EndpointTable::select(const EndpointCriteria &criteria, TimePoint now)
{
    const std::vector<KnownEndpointPointer> allEndpoints = usableEndpoints(criteria.m_service, now);
    if (criteria.m_isIsolated)
        return selectIsolated(allEndpoints, criteria, now);
    if (criteria.m_position && allEndpoints.size() > maxUndividedEndpoints) {
        KnownEndpointPointer preferred =
            leastLoaded(preferredSubset(allEndpoints, *criteria.m_position), criteria, now);
        if (preferred
            && preferred->m_inFlight * gatewaysPerEndpoint <= preferred->m_registration.m_slots)
            return preferred;
    }
    return leastLoaded(allEndpoints, criteria, now);
}

// Selects among the endpoints that are this gateway's for isolated requests and have none.
KnownEndpointPointer
EndpointTable::selectIsolated(const std::vector<KnownEndpointPointer> &allEndpoints,
                              const EndpointCriteria &criteria, TimePoint now)
{
    const GatewayPosition position = criteria.m_position.value_or(GatewayPosition());
    std::vector<KnownEndpointPointer> candidates;
    for (std::size_t index = 0; index < allEndpoints.size(); ++index) {
        if (allEndpoints[index]->m_isolatedInFlight == 0
            && isIsolationEndpoint(index, allEndpoints.size(), position.m_index, position.m_count))
            candidates.push_back(allEndpoints[index]);
    }
    return leastLoaded(candidates, criteria, now);
}

KnownEndpointPointer EndpointTable::leastLoaded(const std::vector<KnownEndpointPointer> &candidates,
                                                const EndpointCriteria &criteria, TimePoint now)
{
    KnownEndpointPointer selected;
    if (candidates.empty())
        return selected;
    // Starts at a random index, so that gateways don't all pick the same one of equal endpoints.
    const std::size_t offset = m_random() % candidates.size();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto &candidate = candidates[(index + offset) % candidates.size()];
        if (!candidate->m_breaker.allows(now) || now < candidate->m_pausedUntil
            || (candidate->m_resumeLimit > 0 && candidate->m_inFlight >= candidate->m_resumeLimit))
            continue;
        if (std::find(criteria.m_excluded.begin(), criteria.m_excluded.end(),
                      candidate->m_registration.m_name)
            != criteria.m_excluded.end())
            continue;
        if (selected && relativeLoad(*selected) <= relativeLoad(*candidate))
            continue;
        if (!candidate->m_pacer.allows(now)) {
            ++candidate->m_passedOver;
            continue;
        }
        if (criteria.m_maxPerSecond > 0
            && !candidate->m_recentRequests.allows(criteria.m_maxPerSecond, now))
            continue;
        selected = candidate;
    }
    return selected;
}

bool EndpointTable::recordLeaving(KnownEndpoint &endpoint)
{
    return !std::exchange(endpoint.m_saysLeaving, true);
}

void EndpointTable::recordPause(KnownEndpoint &endpoint, TimePoint until)
{
    endpoint.m_pausedUntil = std::max(endpoint.m_pausedUntil, until);
    endpoint.m_resumeLimit = 1;
}

void EndpointTable::recordResponse(KnownEndpoint &endpoint, TimePoint now)
{
    if (endpoint.m_resumeLimit == 0 || now < endpoint.m_pausedUntil)
        return;
    endpoint.m_resumeLimit *= 2;
    if (endpoint.m_resumeLimit >= endpoint.m_registration.m_slots)
        endpoint.m_resumeLimit = 0;
}

std::optional<TimePoint> EndpointTable::pausedUntil(const GroupName &service, TimePoint now) const
{
    std::optional<TimePoint> first;
    for (const auto &endpoint : usableEndpoints(service, now)) {
        if (now >= endpoint->m_pausedUntil)
            return std::nullopt;
        first = std::min(first.value_or(endpoint->m_pausedUntil), endpoint->m_pausedUntil);
    }
    return first;
}

void EndpointTable::onRequestSent(KnownEndpoint &endpoint, TimePoint now)
{
    ++endpoint.m_inFlight;
    endpoint.m_recentRequests.record(now);
    endpoint.m_pacedRequests += endpoint.m_pacer.pace() ? 1 : 0;
    endpoint.m_breaker.onRequestSent(now);
}

void EndpointTable::onRequestEnded(KnownEndpoint &endpoint)
{
    if (endpoint.m_inFlight > 0)
        --endpoint.m_inFlight;
}

double EndpointTable::usableSlots(const GroupName &service, Duration requestTime,
                                  TimePoint now) const
{
    double totalSlots = 0;
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return totalSlots;
    for (const auto &endpoint : found->second) {
        if (!isUsable(*endpoint, now))
            continue;
        double slots = endpoint->m_registration.m_slots / slownessOf(*endpoint);
        if (endpoint->m_namedRate && requestTime.count() > 0)
            slots = std::min(slots, *endpoint->m_namedRate
                                        * std::chrono::duration<double>(requestTime).count());
        totalSlots += slots;
    }
    return totalSlots;
}

std::optional<double> EndpointTable::paceOf(const GroupName &service, TimePoint now) const
{
    std::optional<double> requestsPerSecond;
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return requestsPerSecond;
    for (const auto &endpoint : found->second) {
        if (!isUsable(*endpoint, now))
            continue;
        if (!endpoint->m_pacer.pace())
            return std::nullopt;
        requestsPerSecond =
            requestsPerSecond.value_or(0) + endpoint->m_pacer.pace()->m_requestsPerSecond;
    }
    return requestsPerSecond;
}

std::size_t EndpointTable::usableCount(const GroupName &service, TimePoint now) const
{
    return count(service, now, [](const KnownEndpoint &) { return true; });
}

std::size_t EndpointTable::count(const GroupName &service, TimePoint now,
                                 const std::function<bool(const KnownEndpoint &)> &isCounted) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(), [&](const auto &endpoint) {
            return isUsable(*endpoint, now) && isCounted(*endpoint);
        }));
}

std::size_t EndpointTable::registeredCount(const GroupName &service) const
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return 0;
    return static_cast<std::size_t>(
        std::count_if(found->second.begin(), found->second.end(), [](const auto &endpoint) {
            return !endpoint->m_registration.m_isLeaving && !endpoint->m_saysLeaving
                   && !endpoint->m_isReplaced && endpoint->m_usableUntil == TimePoint::max();
        }));
}

KnownEndpointPointer EndpointTable::find(const EndpointName &name) const
{
    const auto found = m_endpoints.find(name);
    return found == m_endpoints.end() ? nullptr : found->second;
}

} // namespace burdockhead
