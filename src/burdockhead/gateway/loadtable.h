#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/gateway/gatewayload.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace burdockhead {

// Requests of a service at the other gateways that have reported their load recently.
struct LoadElsewhere
{
    std::uint64_t m_requests = 0;
    std::size_t m_gateways = 0;

    friend bool operator==(const LoadElsewhere &, const LoadElsewhere &) = default;
};

// What the gateways tell one another of their load by gossip. Answers uneven load: clients choose
// gateways at random and keep their connections, and gateways stop and start, so that some have
// several times the requests of others.
class LoadTable
{
public:
    LoadTable(ProcessName localName, std::uint64_t incarnation, Random seed);

    // Sets the incarnation of this gateway, when it was raised.
    void setIncarnation(std::uint64_t incarnation) { m_local.m_incarnation = incarnation; }

    // Set what the next report of this gateway says.
    void setServices(std::vector<ServiceLoad> services);
    void setSlowEndpoints(std::vector<EndpointSlowness> endpoints);

    // Returns the next report of this gateway and recent ones of others.
    std::vector<GatewayLoad> reportsToSend(TimePoint now);

    // Merges the reports that another gateway sent.
    void receive(const std::vector<GatewayLoad> &reports, TimePoint now);

    // Returns the arrivals at a service that the other gateways have known of this one for a while;
    // none if it has only just begun to report.
    std::optional<std::uint64_t> announcedArrivals(const GroupName &service, TimePoint now) const;

    // Returns the arrivals at a service as other gateways have reported them recently.
    std::map<ProcessName, std::uint64_t> arrivalsElsewhere(const GroupName &service,
                                                           TimePoint now) const;

    LoadElsewhere elsewhere(const GroupName &service, TimePoint now) const;

    // Returns the slow endpoints that any gateway knows, with the factor of each.
    std::map<SocketAddress, double> slowEndpoints(TimePoint now) const;

private:
    struct ReceivedLoad
    {
        GatewayLoad m_load;
        TimePoint m_validUntil;
    };

    struct SentReport
    {
        TimePoint m_at;
        std::vector<ServiceLoad> m_services;
    };

    GatewayLoad m_local;
    std::deque<SentReport> m_sentReports; // Since the last one that all others know.
    std::map<ProcessName, ReceivedLoad> m_received;
    Random m_random;
};

} // namespace burdockhead
