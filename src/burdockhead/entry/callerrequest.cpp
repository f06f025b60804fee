#include <burdockhead/entry/callerrequest.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <xxhash.h>

namespace burdockhead {

namespace {

constexpr std::string_view servicesPrefix = "/v1/services/";
constexpr std::string_view engineChatPath = "/v1/chat/completions";
constexpr std::size_t maxKeyLength = 255;
constexpr std::uint64_t maxPriority = 9;
constexpr std::uint64_t maxDeadlineMilliseconds = 24ULL * 3600 * 1000;
// Prompts that agree in this many leading bytes are taken to share a cached prefix.
constexpr std::size_t prefixBytes = 256;

// Reads headers and body of one request into a CallerRequest, keeping the first failure.
class Parser
{
public:
    Parser(const HttpRequest &request, const Configuration &configuration, TimePoint now,
           Failure &failure)
        : m_request(request)
        , m_configuration(configuration)
        , m_now(now)
        , m_failure(failure)
    {}

    bool readModelBody(CallerRequest &parsed);
    bool readServicePath(CallerRequest &parsed);
    bool readWorkspace(RequestAttributes &facts);
    bool readKind(RequestAttributes &facts, const std::string &name);
    bool readKey(RequestAttributes &facts);

private:
    bool fail(ErrorKind kind, std::string reason)
    {
        m_failure = {kind, std::move(reason)};
        return false;
    }

    bool readNumber(const char *header, std::uint64_t largest, std::optional<std::uint64_t> &value);
    bool readPriority(RequestAttributes &facts, const RequestKind &kind);
    bool readDeadline(RequestAttributes &facts, const RequestKind &kind);

    const HttpRequest &m_request;
    const Configuration &m_configuration;
    TimePoint m_now;
    Failure &m_failure;
};

bool Parser::readNumber(const char *header, std::uint64_t largest,
                        std::optional<std::uint64_t> &value)
{
    const auto text = m_request.header(header);
    if (!text)
        return true;
    std::uint64_t number = 0;
    const char *end = text->data() + text->size();
    const auto result = std::from_chars(text->data(), end, number);
    if (result.ec != std::errc() || result.ptr != end || number > largest)
        return fail(ErrorKind::MalformedRequest,
                    std::string(header) + " must be a number up to " + std::to_string(largest));
    value = number;
    return true;
}

bool Parser::readPriority(RequestAttributes &facts, const RequestKind &kind)
{
    std::optional<std::uint64_t> priority;
    if (!readNumber("Burdockhead-Priority", maxPriority, priority))
        return false;
    facts.m_priority = static_cast<std::uint32_t>(priority.value_or(kind.m_priority));
    return true;
}

bool Parser::readDeadline(RequestAttributes &facts, const RequestKind &kind)
{
    std::optional<std::uint64_t> left;
    if (!readNumber("Burdockhead-Deadline-Ms", maxDeadlineMilliseconds, left))
        return false;
    const auto longest = static_cast<std::uint64_t>(kind.m_deadline.count());
    facts.m_deadline = m_now + Milliseconds(std::min(left.value_or(longest), longest));
    return true;
}

bool Parser::readWorkspace(RequestAttributes &facts)
{
    facts.m_workspace = WorkspaceName(m_request.header("Burdockhead-Workspace").value_or(""));
    if (m_configuration.workspace(facts.m_workspace) == nullptr)
        return fail(ErrorKind::UnknownWorkspace,
                    "Burdockhead-Workspace names no workspace of the configuration");
    return true;
}

bool Parser::readKind(RequestAttributes &facts, const std::string &name)
{
    const RequestKind *kind = m_configuration.kind(KindName(name));
    if (kind == nullptr)
        return fail(ErrorKind::UnknownKind, "no kind of request is called '" + name + "'");
    facts.m_kind = kind->m_name;
    facts.m_repeatable = kind->m_repeatable;
    return readPriority(facts, *kind) && readDeadline(facts, *kind);
}

bool Parser::readKey(RequestAttributes &facts)
{
    facts.m_idempotencyKey = m_request.header("Idempotency-Key").value_or("");
    if (facts.m_idempotencyKey.size() > maxKeyLength)
        return fail(ErrorKind::MalformedRequest, "Idempotency-Key is longer than 255 bytes");
    if (facts.m_idempotencyKey.empty() && !facts.m_repeatable)
        return fail(ErrorKind::KeyRequired, "");
    if (facts.m_repeatable)
        facts.m_idempotencyKey.clear();
    return true;
}

bool Parser::readModelBody(CallerRequest &parsed)
{
    const auto body = nlohmann::json::parse(m_request.m_body, nullptr, false);
    if (!body.is_object())
        return fail(ErrorKind::MalformedRequest, "the body is not a JSON object");
    if (!body.contains("model") || !body["model"].is_string())
        return fail(ErrorKind::MalformedRequest, "model must be a string");
    if (!body.contains("messages") || !body["messages"].is_array())
        return fail(ErrorKind::MalformedRequest, "messages must be a list");
    if (body.contains("stream") && !body["stream"].is_boolean())
        return fail(ErrorKind::MalformedRequest, "stream must be true or false");
    if (body.contains("resume_from"))
        return fail(ErrorKind::MalformedRequest, "resume_from is not for callers");
    parsed.m_facts.m_model = ModelName(body["model"].get<std::string>());
    if (body.contains("adapter") && body["adapter"].is_string())
        parsed.m_facts.m_adapter = AdapterName(body["adapter"].get<std::string>());
    parsed.m_stream = body.value("stream", false);
    const std::string prompt = body["messages"].dump().substr(0, prefixBytes);
    parsed.m_facts.m_prefixHash = XXH3_64bits(prompt.data(), prompt.size());
    parsed.m_path = engineChatPath;
    return true;
}

bool Parser::readServicePath(CallerRequest &parsed)
{
    const std::string rest = m_request.m_path.substr(servicesPrefix.size());
    const auto slash = rest.find('/');
    parsed.m_path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!m_request.m_query.empty())
        parsed.m_path += "?" + m_request.m_query;
    return readKind(parsed.m_facts, rest.substr(0, slash));
}

} // namespace

std::optional<CallerRequest> parseCallerRequest(const HttpRequest &request,
                                                const Configuration &configuration, TimePoint now,
                                                Random &random, Failure &failure)
{
    Parser parser(request, configuration, now, failure);
    CallerRequest parsed;
    parsed.m_facts.m_id = RequestId::draw(random);
    parsed.m_method = request.m_method;
    parsed.m_contentType = request.header("Content-Type").value_or("");
    bool readable = parser.readWorkspace(parsed.m_facts);
    if (request.m_path.starts_with(servicesPrefix)) {
        parsed.m_type = CallerRequestType::Service;
        readable = readable && parser.readServicePath(parsed);
    } else {
        readable =
            readable && parser.readModelBody(parsed)
            && parser.readKind(parsed.m_facts, request.header("Burdockhead-Kind").value_or(""));
    }
    if (!readable || !parser.readKey(parsed.m_facts))
        return std::nullopt;
    parsed.m_body = request.m_body;
    return parsed;
}

std::string resumedBody(const std::string &body, std::uint64_t tokensSent)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return body;
    json["resume_from"] = tokensSent;
    return json.dump();
}

} // namespace burdockhead
