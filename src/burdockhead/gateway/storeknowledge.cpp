#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/gateway/storeknowledge.h>
#include <burdockhead/http/httprequest.h>

#include <charconv>

namespace burdockhead {

namespace {

constexpr std::uint64_t messageVersion = 1;
constexpr std::size_t maxDataCentres = 256;
constexpr std::size_t maxDepartures = 2048;
// Nothing is held or remembered for longer.
constexpr std::uint64_t maxMilliseconds = 3600ULL * 1000;

Milliseconds readSpan(MessageReader &reader)
{
    const std::uint64_t span = reader.number();
    if (span > maxMilliseconds)
        reader.fail();
    return Milliseconds(reader.ok() ? static_cast<std::int64_t>(span) : 0);
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() ? std::optional(number) : std::nullopt;
}

} // namespace

std::string storeKnowledgeTarget(std::uint64_t version, std::uint64_t era)
{
    return std::string(storeKnowledgePath) + "?version=" + std::to_string(version)
           + "&era=" + std::to_string(era);
}

std::optional<std::pair<std::uint64_t, std::uint64_t>>
parseStoreKnowledgeTarget(const std::string &target)
{
    HttpRequest request;
    const auto question = target.find('?');
    request.m_path = target.substr(0, question);
    request.m_query = question == std::string::npos ? "" : target.substr(question + 1);
    const auto version = parseNumber(request.queryValue("version").value_or(""));
    const auto era = parseNumber(request.queryValue("era").value_or(""));
    if (request.m_path != storeKnowledgePath || !version || !era)
        return std::nullopt;
    return std::pair(*version, *era);
}

std::string writeStoreKnowledge(const StoreKnowledge &knowledge, TimePoint now)
{
    MessageWriter writer;
    writer.number(messageVersion)
        .number(knowledge.m_configurationVersion)
        .number(knowledge.m_configurationEra)
        .text(knowledge.m_configurationPage)
        .flag(knowledge.m_isListPage)
        .number(knowledge.m_dataCentresHeldOut.size());
    for (const auto &[name, until] : knowledge.m_dataCentresHeldOut)
        writer.text(name.text()).number(static_cast<std::uint64_t>(millisecondsUntil(until, now)));
    writer.number(knowledge.m_departures.size());
    for (const auto &[endpoint, record] : knowledge.m_departures)
        writer.text(endpoint.m_name.text())
            .number(endpoint.m_startedAt)
            .flag(record.m_departure == Departure::Leaving)
            .number(static_cast<std::uint64_t>(millisecondsUntil(now, record.m_at)));
    return writer.take();
}

std::optional<StoreKnowledge> readStoreKnowledge(std::string_view body, TimePoint now)
{
    MessageReader reader(body);
    if (reader.number() != messageVersion)
        return std::nullopt;
    StoreKnowledge knowledge;
    knowledge.m_configurationVersion = reader.number();
    knowledge.m_configurationEra = reader.number();
    knowledge.m_configurationPage = reader.text();
    knowledge.m_isListPage = reader.flag();
    const std::size_t dataCentres = reader.listLength(maxDataCentres);
    for (std::size_t index = 0; index < dataCentres; ++index) {
        const DataCentreName name(reader.text());
        knowledge.m_dataCentresHeldOut[name] = now + readSpan(reader);
    }
    const std::size_t departures = reader.listLength(maxDepartures);
    for (std::size_t index = 0; index < departures; ++index) {
        EndpointRun endpoint;
        endpoint.m_name = EndpointName(reader.text());
        endpoint.m_startedAt = reader.number();
        const bool isLeaving = reader.flag();
        knowledge.m_departures[endpoint] = {isLeaving ? Departure::Leaving : Departure::Removed,
                                            now - readSpan(reader)};
    }
    if (!reader.complete())
        return std::nullopt;
    return knowledge;
}

} // namespace burdockhead
