#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/gateway/loadmessage.h>

namespace burdockhead {

namespace {

// Tells the message from those of PeerTable, which share the port and begin with another number.
constexpr std::uint64_t messageVersion = 6;
constexpr std::size_t maxReports = 128;
constexpr std::size_t maxServices = 64;
constexpr std::size_t maxSlowEndpoints = 1024;

EndpointSlowness readSlowness(MessageReader &reader)
{
    const auto address = SocketAddress::parse(reader.text());
    const double factor = reader.real();
    if (!address || !(factor >= 1))
        reader.fail();
    return {address.value_or(SocketAddress()), factor};
}

} // namespace

std::string writeLoadMessage(const std::vector<GatewayLoad> &reports)
{
    MessageWriter writer;
    writer.number(messageVersion).number(reports.size());
    for (const GatewayLoad &report : reports) {
        writer.text(report.m_gateway.text())
            .number(report.m_incarnation)
            .number(report.m_sequence)
            .number(report.m_services.size());
        for (const ServiceLoad &load : report.m_services)
            writer.text(load.m_service.text()).number(load.m_requests).number(load.m_arrivals);
        writer.number(report.m_slowEndpoints.size());
        for (const EndpointSlowness &endpoint : report.m_slowEndpoints)
            writer.text(endpoint.m_address.toString()).real(endpoint.m_factor);
    }
    return writer.take();
}

std::optional<std::vector<GatewayLoad>> readLoadMessage(std::string_view datagram)
{
    MessageReader reader(datagram);
    if (reader.number() != messageVersion)
        return std::nullopt;
    std::vector<GatewayLoad> reports(reader.listLength(maxReports));
    for (GatewayLoad &report : reports) {
        report.m_gateway = ProcessName(reader.text());
        report.m_incarnation = reader.number();
        report.m_sequence = reader.number();
        report.m_services.resize(reader.listLength(maxServices));
        for (ServiceLoad &load : report.m_services) {
            load.m_service = GroupName(reader.text());
            load.m_requests = reader.number();
            load.m_arrivals = reader.number();
        }
        report.m_slowEndpoints.resize(reader.listLength(maxSlowEndpoints));
        for (EndpointSlowness &endpoint : report.m_slowEndpoints)
            endpoint = readSlowness(reader);
    }
    if (!reader.complete())
        return std::nullopt;
    return reports;
}

} // namespace burdockhead
