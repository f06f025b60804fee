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

std::string writeStoreKnowledge(const StoreKnowledge &state)
{
    MessageWriter writer;
    writer.number(messageVersion)
        .number(state.m_configurationVersion)
        .number(state.m_configurationEra)
        .text(state.m_configurationPage)
        .flag(state.m_isListPage)
        .number(state.m_dataCentresHeldOut.size());
    for (const DataCentreName &name : state.m_dataCentresHeldOut)
        writer.text(name.text());
    writer.number(state.m_departures.size());
    for (const auto &[endpoint, departure] : state.m_departures)
        writer.text(endpoint.m_name.text())
            .number(endpoint.m_startedAt)
            .flag(departure == Departure::Leaving);
    return writer.take();
}

std::optional<StoreKnowledge> readStoreKnowledge(std::string_view body)
{
    MessageReader reader(body);
    if (reader.number() != messageVersion)
        return std::nullopt;
    StoreKnowledge state;
    state.m_configurationVersion = reader.number();
    state.m_configurationEra = reader.number();
    state.m_configurationPage = reader.text();
    state.m_isListPage = reader.flag();
    state.m_dataCentresHeldOut.resize(reader.listLength(maxDataCentres));
    for (DataCentreName &name : state.m_dataCentresHeldOut)
        name = DataCentreName(reader.text());
    state.m_departures.resize(reader.listLength(maxDepartures));
    for (auto &[endpoint, departure] : state.m_departures) {
        endpoint.m_name = EndpointName(reader.text());
        endpoint.m_startedAt = reader.number();
        departure = reader.flag() ? Departure::Leaving : Departure::Removed;
    }
    if (!reader.complete())
        return std::nullopt;
    return state;
}

} // namespace burdockhead
