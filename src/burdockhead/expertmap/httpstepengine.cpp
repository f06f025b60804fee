#include <burdockhead/codec/boundedjson.h>
#include <burdockhead/expertmap/httpstepengine.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace burdockhead {

namespace {

using Json = nlohmann::json;

constexpr std::string_view hexDigits = "0123456789abcdef";

// Encodes bytes, since JSON strings can't contain arbitrary ones.
std::string toHex(const std::string &bytes)
{
    std::string text;
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += hexDigits[value >> 4U];
        text += hexDigits[value & 15U];
    }
    return text;
}

std::optional<std::string> fromHex(const std::string &text)
{
    std::string bytes;
    for (std::size_t index = 0; index + 1 < text.size(); index += 2) {
        const auto high = hexDigits.find(text[index]);
        const auto low = hexDigits.find(text[index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return std::nullopt;
        bytes += static_cast<char>(high << 4U | low);
    }
    return bytes;
}

std::optional<std::uint64_t> stepOf(const std::optional<std::string> &body)
{
    if (!body)
        return std::nullopt;
    const Json json = parseBoundedJsonOrDiscard(*body);
    if (!json.is_object() || !json.contains("step") || !json["step"].is_number_unsigned())
        return std::nullopt;
    return json["step"].get<std::uint64_t>();
}

} // namespace

HttpStepEngine::HttpStepEngine(HttpClient &client, std::string url, Milliseconds timeout)
    : m_client(client)
    , m_url(std::move(url))
    , m_timeout(timeout)
{}

std::optional<StepEngineState> HttpStepEngine::read()
{
    const auto body = call("/expert-map", "");
    const auto step = stepOf(body);
    if (!step)
        return std::nullopt;
    const Json json = parseBoundedJsonOrDiscard(*body);
    if (!json.contains("record") || !json["record"].is_string())
        return std::nullopt;
    const auto bytes = fromHex(json["record"].get<std::string>());
    const auto record = bytes ? VoteRecord::decode(*bytes) : std::nullopt;
    if (!record)
        return std::nullopt;
    return StepEngineState{*step, *record};
}

std::optional<StepEngineState> HttpStepEngine::store(const VoteRecord &record)
{
    const Json payload = {{"limit", record.stepLimit()},
                          {"base_version", record.m_committedChange.m_baseVersion},
                          {"version", record.m_committedChange.m_version},
                          {"from_step", record.m_committedChange.m_firstStep},
                          {"record", toHex(record.encode())}};
    const Json order = {{"type", "step_gate"}, {"fence", record.m_sequence}, {"payload", payload}};
    const auto step = stepOf(call("/orders", order.dump()));
    if (!step)
        return std::nullopt;
    return StepEngineState{*step, record};
}

bool HttpStepEngine::stage(const ChangeId &id, const ExpertMap &map)
{
    const std::string name = std::to_string(id.m_fence) + "." + std::to_string(id.m_attempt);
    const Json payload = {{"id", name}, {"map", toHex(map.encode())}};
    const Json order = {{"type", "stage_map"}, {"fence", id.m_fence}, {"payload", payload}};
    const auto body = call("/orders", order.dump());
    const Json json = parseBoundedJsonOrDiscard(body.value_or(""));
    return json.is_object() && json.contains("staged") && json["staged"] == true;
}

std::optional<std::string> HttpStepEngine::call(const std::string &path, std::string body)
{
    HttpClientCall call;
    call.m_method = body.empty() ? "GET" : "POST";
    call.m_url = m_url + path;
    call.m_body = std::move(body);
    call.m_deadline = Clock::now() + m_timeout;
    call.m_neverResend = call.m_method == "POST";
    Failure failure;
    auto response = m_client.callAndWait(std::move(call), failure);
    if (!response || response->m_status != 200)
        return std::nullopt;
    return std::move(response->m_body);
}

} // namespace burdockhead
