#include <burdockhead/codec/boundedjson.h>
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
// Prompts with the same first bytes up to this length are assumed to share a cached prefix.
constexpr std::size_t prefixHashBytes = 256;

// Parses the headers and body of one request into a CallerRequest; stores the first failure.
class CallerRequestParser
{
public:
    CallerRequestParser(const HttpRequest &request, const Configuration &configuration,
                        TimePoint now, Failure &failure)
        : m_request(request)
        , m_configuration(configuration)
        , m_now(now)
        , m_failure(failure)
    {}

    bool readModelBody(CallerRequest &parsed);
    bool readServicePath(CallerRequest &parsed);
    bool readWorkspace(RequestAttributes &attributes);
    bool readKind(RequestAttributes &attributes, const std::string &name);
    bool readKey(RequestAttributes &attributes);

private:
    bool fail(ErrorKind kind, std::string reason)
    {
        m_failure = {kind, std::move(reason)};
        return false;
    }

    bool readNumber(const char *header, std::uint64_t maxValue,
                    std::optional<std::uint64_t> &value);
    bool readPriority(RequestAttributes &attributes, const RequestKind &kind);
    bool readDeadline(RequestAttributes &attributes, const RequestKind &kind);

    const HttpRequest &m_request;
    const Configuration &m_configuration;
    TimePoint m_now;
    Failure &m_failure;
};

bool CallerRequestParser::readNumber(const char *header, std::uint64_t maxValue,
                                     std::optional<std::uint64_t> &value)
{
    const auto text = m_request.header(header);
    if (!text)
        return true;
    std::uint64_t number = 0;
    const char *end = text->data() + text->size();
    const auto result = std::from_chars(text->data(), end, number);
    if (result.ec != std::errc() || result.ptr != end || number > maxValue)
        return fail(ErrorKind::MalformedRequest,
                    std::string(header) + " must be a number up to " + std::to_string(maxValue));
    value = number;
    return true;
}

bool CallerRequestParser::readPriority(RequestAttributes &attributes, const RequestKind &kind)
{
    std::optional<std::uint64_t> priority;
    if (!readNumber("Burdockhead-Priority", maxPriority, priority))
        return false;
    attributes.m_priority = static_cast<std::uint32_t>(priority.value_or(kind.m_priority));
    return true;
}

bool CallerRequestParser::readDeadline(RequestAttributes &attributes, const RequestKind &kind)
{
    std::optional<std::uint64_t> requestedMilliseconds;
    if (!readNumber("Burdockhead-Deadline-Ms", maxDeadlineMilliseconds, requestedMilliseconds))
        return false;
    const auto maxMilliseconds = static_cast<std::uint64_t>(kind.m_deadline.count());
    attributes.m_deadline =
        m_now
        + Milliseconds(std::min(requestedMilliseconds.value_or(maxMilliseconds), maxMilliseconds));
    return true;
}

bool CallerRequestParser::readWorkspace(RequestAttributes &attributes)
{
    attributes.m_workspace = WorkspaceName(m_request.header("Burdockhead-Workspace").value_or(""));
    if (m_configuration.workspace(attributes.m_workspace) == nullptr)
        return fail(ErrorKind::UnknownWorkspace,
                    "Burdockhead-Workspace names no workspace of the configuration");
    return true;
}

bool CallerRequestParser::readKind(RequestAttributes &attributes, const std::string &name)
{
    const RequestKind *kind = m_configuration.kind(KindName(name));
    if (kind == nullptr)
        return fail(ErrorKind::UnknownKind, "no kind of request is called '" + name + "'");
    attributes.m_kind = kind->m_name;
    attributes.m_repeatable = kind->m_repeatable;
    return readPriority(attributes, *kind) && readDeadline(attributes, *kind);
}

bool CallerRequestParser::readKey(RequestAttributes &attributes)
{
    attributes.m_idempotencyKey = m_request.header("Idempotency-Key").value_or("");
    if (attributes.m_idempotencyKey.size() > maxKeyLength)
        return fail(ErrorKind::MalformedRequest, "Idempotency-Key is longer than 255 bytes");
    if (attributes.m_idempotencyKey.empty() && !attributes.m_repeatable)
        return fail(ErrorKind::KeyRequired, "");
    if (attributes.m_repeatable)
        attributes.m_idempotencyKey.clear();
    return true;
}

bool CallerRequestParser::readModelBody(CallerRequest &parsed)
{
    const auto body = parseBoundedJsonOrDiscard(m_request.m_body);
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
    parsed.m_attributes.m_model = ModelName(body["model"].get<std::string>());
    if (body.contains("adapter") && body["adapter"].is_string())
        parsed.m_attributes.m_adapter = AdapterName(body["adapter"].get<std::string>());
    parsed.m_wantsStream = body.value("stream", false);
    const std::string prompt = body["messages"].dump().substr(0, prefixHashBytes);
    parsed.m_attributes.m_prefixHash = XXH3_64bits(prompt.data(), prompt.size());
    parsed.m_path = engineChatPath;
    return true;
}

bool CallerRequestParser::readServicePath(CallerRequest &parsed)
{
    const std::string servicePath = m_request.m_path.substr(servicesPrefix.size());
    const auto slash = servicePath.find('/');
    parsed.m_path = slash == std::string::npos ? "/" : servicePath.substr(slash);
    if (!m_request.m_query.empty())
        parsed.m_path += "?" + m_request.m_query;
    return readKind(parsed.m_attributes, servicePath.substr(0, slash));
}

} // namespace

std::optional<CallerRequest> parseCallerRequest(const HttpRequest &request,
                                                const Configuration &configuration, TimePoint now,
                                                Random &random, Failure &failure)
{
    CallerRequestParser parser(request, configuration, now, failure);
    CallerRequest parsed;
    parsed.m_attributes.m_id = RequestId::draw(random);
    parsed.m_method = request.m_method;
    parsed.m_contentType = request.header("Content-Type").value_or("");
    bool isValid = parser.readWorkspace(parsed.m_attributes);
    if (request.m_path.starts_with(servicesPrefix)) {
        parsed.m_type = CallerRequestType::Service;
        isValid = isValid && parser.readServicePath(parsed);
    } else {
        isValid = isValid && parser.readModelBody(parsed)
                  && parser.readKind(parsed.m_attributes,
                                     request.header("Burdockhead-Kind").value_or(""));
    }
    if (!isValid || !parser.readKey(parsed.m_attributes))
        return std::nullopt;
    parsed.m_body = request.m_body;
    return parsed;
}

std::string resumedBody(const std::string &body, std::uint64_t tokensSent)
{
    auto json = parseBoundedJsonOrDiscard(body);
    if (!json.is_object())
        return body;
    json["resume_from"] = tokensSent;
    return json.dump();
}

} // namespace burdockhead
