#pragma once

#include <burdockhead/base/endpointrun.h>
#include <burdockhead/base/random.h>
#include <burdockhead/gateway/endpointbreaker.h>
#include <burdockhead/gateway/endpointregistration.h>
#include <burdockhead/gateway/peertable.h>
#include <burdockhead/gateway/slidingwindowcounter.h>
#include <burdockhead/ratelimit/requestpacer.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace burdockhead {

// State of one run of an endpoint in this gateway. Requests in flight keep it alive after its
// registration is removed.
struct KnownEndpoint
{
    EndpointRegistration m_registration;
    EndpointBreaker m_breaker;
    SlidingWindowCounter m_recentRequests{Milliseconds(1000)};
    std::optional<double> m_namedRate; // Requests a second that it takes from all gateways.
    RequestPacer m_pacer;              // Keeps to this gateway's part of that rate.
    std::uint64_t m_pacedRequests = 0; // That were sent under a pace.
    std::uint64_t m_passedOver = 0;    // Selections that left it out for its pace.
    bool m_saysLeaving = false;        // In one of its responses.
    TimePoint m_pausedUntil = TimePoint::min(); // It wants no requests of this gateway before.
    // Requests in flight while they come back after a pause; 0 for no limit.
    unsigned m_resumeLimit = 0;
    unsigned m_inFlight = 0;
    unsigned m_isolatedInFlight = 0; // Of them, those that are sent apart from each other.
    TimePoint m_lastResponseAt;      // When response bytes were last received.
    // Requests are sent to it before this time. Set when the registration is removed, reset when
    // the endpoint is registered again.
    TimePoint m_usableUntil = TimePoint::max();
    TimePoint m_usableFrom = TimePoint::min(); // Held back until then.
    bool m_isReplaced = false;                 // A newer endpoint has started at its address.
};

using KnownEndpointPointer = std::shared_ptr<KnownEndpoint>;

// Criteria for the selection of an endpoint.
struct EndpointCriteria
{
    GroupName m_service;
    std::size_t m_maxPerSecond = 0; // Requests per endpoint in any second; 0 for no limit.
    std::vector<EndpointName> m_excluded;
    // This gateway's position, if each gateway prefers a subset of the service's endpoints; none if
    // each uses all endpoints alike.
    std::optional<GatewayPosition> m_position = {};
    bool m_isIsolated = false; // The request must not meet another isolated one.
};

// Holds all endpoints from service discovery and selects one per request: the one where a further
// request takes the least time by its requests in flight per slot and its slowness, penalised for
// failures. Protects ranks in lock-step, where every step takes as long as on the rank with the
// most work, or on the slowest.
//
// A gateway sees only its own requests. Where many gateways share many endpoints, each prefers a
// subset shared with a few others, so that it sees a large part of their load and keeps its
// connections to them busy. Otherwise, with many gateways and half-full endpoints, some endpoints
// would be full by chance and queue requests.
class EndpointTable
{
public:
    explicit EndpointTable(Random seed);

    // Inserts or updates an endpoint. Returns whether the endpoint is new or has restarted.
    bool update(const EndpointRegistration &registration);

    // Removes the registration; the endpoint stays usable until that time.
    void remove(const EndpointName &name, TimePoint usableUntil);

    // Excludes a data centre from selection, or includes it again.
    void setDataCentreOut(const DataCentreName &name, bool isOut);
    bool isDataCentreOut(const DataCentreName &name) const
    {
        return m_dataCentresOut.contains(name);
    }
    std::set<DataCentreName> dataCentresOut() const { return m_dataCentresOut; }

    // Sets how much slower than healthy ones some endpoints are, by their addresses.
    void setSlowness(std::map<SocketAddress, double> factors) { m_slowness = std::move(factors); }

    // Returns the factor for an endpoint; 1 for a healthy one.
    double slownessOf(const KnownEndpoint &endpoint) const;

    // Returns the endpoint for the request; null if none is eligible.
    KnownEndpointPointer select(const EndpointCriteria &criteria, TimePoint now);

    // Records that a run of an endpoint says that it is leaving; it gets no further requests,
    // whatever service discovery says of it. Returns whether that is new.
    bool recordLeaving(KnownEndpoint &endpoint);

    // Records that an endpoint wants no requests of this gateway until then. Afterwards they come
    // back gradually, with each response that asks for no pause.
    static void recordPause(KnownEndpoint &endpoint, TimePoint until);
    static void recordResponse(KnownEndpoint &endpoint, TimePoint now);

    // Returns when the first pause ends, if all usable endpoints of the service are paused.
    std::optional<TimePoint> pausedUntil(const GroupName &service, TimePoint now) const;

    // Track requests in flight.
    void onRequestSent(KnownEndpoint &endpoint, TimePoint now);
    void onRequestEnded(KnownEndpoint &endpoint);

    // Returns the total slots of the service's usable endpoints; those of a slow one count less,
    // and of one that names a rate only those that it keeps busy with requests that take this time.
    double usableSlots(const GroupName &service, Duration requestTime, TimePoint now) const;

    // Returns the rate at which this gateway may send to the service, in requests per second; none
    // unless all its usable endpoints name a rate.
    std::optional<double> paceOf(const GroupName &service, TimePoint now) const;

    // Returns the number of usable endpoints of the service, whatever the state of their breakers.
    std::size_t usableCount(const GroupName &service, TimePoint now) const;

    // Returns the number of those of them for which the function returns true.
    std::size_t count(const GroupName &service, TimePoint now,
                      const std::function<bool(const KnownEndpoint &)> &isCounted) const;

    // Returns the number of the service's endpoints that are registered and not leaving.
    std::size_t registeredCount(const GroupName &service) const;

    KnownEndpointPointer find(const EndpointName &name) const;
    const std::map<EndpointName, KnownEndpointPointer> &endpoints() const { return m_endpoints; }

    // Erases removed endpoints whose time has passed. What is known of their runs is kept for some
    // time: a registration may lapse and come back.
    void removeExpired(TimePoint now);

private:
    bool isUsable(const KnownEndpoint &endpoint, TimePoint now) const;
    std::vector<KnownEndpointPointer> usableEndpoints(const GroupName &service,
                                                      TimePoint now) const;
    KnownEndpointPointer selectIsolated(const std::vector<KnownEndpointPointer> &allEndpoints,
                                        const EndpointCriteria &criteria, TimePoint now);
    KnownEndpointPointer leastLoaded(const std::vector<KnownEndpointPointer> &candidates,
                                     const EndpointCriteria &criteria, TimePoint now);
    double relativeLoad(const KnownEndpoint &endpoint) const;
    void markReplaced(const KnownEndpointPointer &endpoint);
    KnownEndpointPointer takeFormer(const EndpointRegistration &registration);

    std::map<EndpointName, KnownEndpointPointer> m_endpoints;
    std::map<GroupName, std::vector<KnownEndpointPointer>> m_byService;
    std::set<DataCentreName> m_dataCentresOut;
    std::map<SocketAddress, double> m_slowness;
    struct FormerEndpoint
    {
        KnownEndpointPointer m_endpoint;
        TimePoint m_forgottenAt; // The end of time for one that another run has replaced.
    };

    std::deque<FormerEndpoint>
        m_formerEndpoints; // Whose registrations have ended; the latest last.
    Random m_random;
};

} // namespace burdockhead
