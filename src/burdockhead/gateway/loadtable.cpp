#include <burdockhead/gateway/loadtable.h>

#include <algorithm>
#include <tuple>

namespace burdockhead {

namespace {

// Reports of other gateways in a message, so that it fits into one packet in a large fleet.
constexpr std::size_t maxForwardedReports = 23;
// A report counts for as long as it takes to reach every gateway of a large fleet, and then some.
constexpr Milliseconds reportValidFor{3000};
// An expired report is remembered for this time, so that a copy that other gateways still forward
// doesn't count as news.
constexpr Milliseconds rememberedFor{60000};

// Time in which a report reaches the other gateways of a fleet of some dozens.
constexpr Milliseconds announcementTime{2000};

std::uint64_t arrivalsOf(const std::vector<ServiceLoad> &services, const GroupName &service)
{
    const auto found = std::find_if(services.begin(), services.end(), [&](const ServiceLoad &load) {
        return load.m_service == service;
    });
    return found == services.end() ? 0 : found->m_arrivals;
}

std::tuple<std::uint64_t, std::uint64_t> versionOf(const GatewayLoad &load)
{
    return {load.m_incarnation, load.m_sequence};
}

} // namespace

LoadTable::LoadTable(ProcessName localName, std::uint64_t incarnation, Random seed)
    : m_local{std::move(localName), incarnation, 0, {}, {}}
    , m_random(seed)
{}

void LoadTable::setServices(std::vector<ServiceLoad> services)
{
    m_local.m_services = std::move(services);
}

void LoadTable::setSlowEndpoints(std::vector<EndpointSlowness> endpoints)
{
    m_local.m_slowEndpoints = std::move(endpoints);
}

std::vector<GatewayLoad> LoadTable::reportsToSend(TimePoint now)
{
    std::vector<GatewayLoad> reports;
    for (const auto &[name, received] : m_received) {
        if (now < received.m_validUntil)
            reports.push_back(received.m_load);
    }
    std::shuffle(reports.begin(), reports.end(), m_random);
    reports.resize(std::min(reports.size(), maxForwardedReports));
    ++m_local.m_sequence;
    reports.push_back(m_local);
    m_sentReports.push_back({now, m_local.m_services});
    while (m_sentReports.size() > 1 && m_sentReports[1].m_at <= now - announcementTime)
        m_sentReports.pop_front();
    return reports;
}

void LoadTable::receive(const std::vector<GatewayLoad> &reports, TimePoint now)
{
    for (const GatewayLoad &report : reports) {
        if (report.m_gateway == m_local.m_gateway)
            continue;
        ReceivedLoad &received = m_received[report.m_gateway];
        if (versionOf(report) > versionOf(received.m_load))
            received = {report, now + reportValidFor};
    }
    std::erase_if(m_received, [&](const auto &item) {
        return now >= item.second.m_validUntil + rememberedFor;
    });
}

std::optional<std::uint64_t> LoadTable::announcedArrivals(const GroupName &service,
                                                          TimePoint now) const
{
    if (m_sentReports.empty() || m_sentReports.front().m_at > now - announcementTime)
        return std::nullopt;
    std::uint64_t least = arrivalsOf(m_local.m_services, service);
    for (const SentReport &report : m_sentReports)
        least = std::min(least, arrivalsOf(report.m_services, service));
    return least;
}

std::map<ProcessName, std::uint64_t> LoadTable::arrivalsElsewhere(const GroupName &service,
                                                                  TimePoint now) const
{
    std::map<ProcessName, std::uint64_t> arrivals;
    for (const auto &[name, received] : m_received) {
        if (now < received.m_validUntil)
            arrivals[name] = arrivalsOf(received.m_load.m_services, service);
    }
    return arrivals;
}

LoadElsewhere LoadTable::elsewhere(const GroupName &service, TimePoint now) const
{
    LoadElsewhere load;
    for (const auto &[name, received] : m_received) {
        if (now >= received.m_validUntil)
            continue;
        ++load.m_gateways;
        for (const ServiceLoad &reported : received.m_load.m_services)
            load.m_requests += reported.m_service == service ? reported.m_requests : 0;
    }
    return load;
}

std::map<SocketAddress, double> LoadTable::slowEndpoints(TimePoint now) const
{
    std::map<SocketAddress, double> factors;
    const auto merge = [&](const std::vector<EndpointSlowness> &endpoints) {
        for (const EndpointSlowness &endpoint : endpoints)
            factors[endpoint.m_address] = std::max(factors[endpoint.m_address], endpoint.m_factor);
    };
    merge(m_local.m_slowEndpoints);
    for (const auto &[name, received] : m_received) {
        if (now < received.m_validUntil)
            merge(received.m_load.m_slowEndpoints);
    }
    return factors;
}

} // namespace burdockhead
