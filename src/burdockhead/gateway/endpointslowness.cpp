#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/gateway/endpointslowness.h>

namespace burdockhead {

namespace {

constexpr std::uint64_t messageVersion = 1;
constexpr std::size_t maxRanks = 1024;

} // namespace

std::string writeRankReport(const RankReport &report)
{
    MessageWriter writer;
    writer.number(messageVersion).text(report.m_group).number(report.m_slowRanks.size());
    for (const EndpointSlowness &rank : report.m_slowRanks)
        writer.text(rank.m_address.toString()).real(rank.m_factor);
    return writer.take();
}

std::optional<RankReport> readRankReport(std::string_view body)
{
    MessageReader reader(body);
    if (reader.number() != messageVersion)
        return std::nullopt;
    RankReport report;
    report.m_group = reader.text();
    report.m_slowRanks.resize(reader.listLength(maxRanks));
    for (EndpointSlowness &rank : report.m_slowRanks) {
        const auto address = SocketAddress::parse(reader.text());
        rank.m_factor = reader.real();
        if (!address || !(rank.m_factor >= 1))
            reader.fail();
        rank.m_address = address.value_or(SocketAddress());
    }
    if (!reader.complete())
        return std::nullopt;
    return report;
}

} // namespace burdockhead
