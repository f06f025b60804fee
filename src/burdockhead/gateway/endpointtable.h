#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/gateway/endpointbreaker.h>
#include <burdockhead/gateway/endpointentry.h>
#include <burdockhead/gateway/peertable.h>
#include <burdockhead/gateway/slidingwindowcounter.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace burdockhead {

// One endpoint as this gateway sees it. Requests in flight keep it alive after its entry is
// gone.
struct KnownEndpoint
{
    EndpointEntry m_entry;
    EndpointBreaker m_breaker;
    SlidingWindowCounter m_recentRequests{Milliseconds(1000)};
    unsigned m_inFlight = 0;
    TimePoint m_lastResponseAt;                 // When bytes of an answer last came from it.
    TimePoint m_usableUntil = TimePoint::max(); // An entry that is gone may be on its way back.
    bool m_isReplaced = false;                  // A later one has started at its address.
};

using KnownEndpointPointer = std::shared_ptr<KnownEndpoint>;

// What a choice among endpoints depends on.
struct EndpointCriteria
{
    GroupName m_service;
    std::size_t m_maxPerSecond = 0; // Requests that each endpoint may get in a second; 0: any.
    std::vector<EndpointName> m_excluded;
    // This gateway's place in the fleet, for a service whose endpoints are divided among gateways;
    // none when each gateway uses all alike.
    std::optional<GatewayPosition> m_position = {};
};

// Every endpoint that service discovery has told of, and the choice among them: the fewest
// requests in flight for its slots, with a handicap for failures. Answers the load pattern of
// ranks in lock-step, where the fullest one sets the pace of all.
//
// A gateway sees only its own requests. Where many gateways share many endpoints, each one first
// uses a few that it shares with a few others, so that what it sees of their load is a large part
// of it, and its connections to them are kept busy. Answers the load pattern of a large fleet
// whose endpoints are half full: by chance some would be full and let requests wait.
class EndpointTable
{
public:
    explicit EndpointTable(Random seed);

    // Takes an entry. True when the endpoint is new or has started again.
    bool update(const EndpointEntry &entry);

    // The entry is gone; the endpoint may still be used until that time.
    void remove(const EndpointName &name, TimePoint usableUntil);

    // Takes a data centre out of the choice, or back in.
    void setDataCentreOut(const DataCentreName &name, bool isOut);
    bool isDataCentreOut(const DataCentreName &name) const
    {
        return m_dataCentresOut.contains(name);
    }
    std::set<DataCentreName> dataCentresOut() const { return m_dataCentresOut; }

    // The endpoint that should get the request; a null pointer when none may.
    KnownEndpointPointer select(const EndpointCriteria &request, TimePoint now);

    // Notes a request on its way to an endpoint, and its end.
    void onRequestSent(KnownEndpoint &endpoint, TimePoint now);
    void onRequestEnded(KnownEndpoint &endpoint);

    // Slots of the service's endpoints that may get requests.
    unsigned usableSlots(const GroupName &service, TimePoint now) const;

    // Endpoints of the service that may get requests, breakers aside.
    std::size_t usableCount(const GroupName &service, TimePoint now) const;

    KnownEndpointPointer find(const EndpointName &name) const;
    const std::map<EndpointName, KnownEndpointPointer> &endpoints() const { return m_endpoints; }

    // Drops endpoints whose time has run out.
    void removeExpired(TimePoint now);

private:
    bool isUsable(const KnownEndpoint &endpoint, TimePoint now) const;
    std::vector<KnownEndpointPointer> usableEndpoints(const GroupName &service,
                                                      TimePoint now) const;
    KnownEndpointPointer leastLoaded(const std::vector<KnownEndpointPointer> &candidates,
                                     const EndpointCriteria &request, TimePoint now);
    void markReplaced(const KnownEndpointPointer &endpoint);

    std::map<EndpointName, KnownEndpointPointer> m_endpoints;
    std::map<GroupName, std::vector<KnownEndpointPointer>> m_byService;
    std::set<DataCentreName> m_dataCentresOut;
    Random m_random;
};

} // namespace burdockhead
