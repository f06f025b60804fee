#include <burdockhead/operators/operatorsprotocol.h>

#include <nlohmann/json.hpp>

namespace burdockhead {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;

// What the status of an answer to a change means.
struct StatusMeaning
{
    int m_status;
    ErrorKind m_kind;
};

constexpr StatusMeaning statusMeanings[] = {
    {400, ErrorKind::ConfigurationInvalid}, {409, ErrorKind::ConfigurationConflict},
    {502, ErrorKind::OutcomeUnknown},       {503, ErrorKind::PlatformUnavailable},
    {504, ErrorKind::OutcomeUnknown},
};

ErrorKind kindForStatus(int status)
{
    for (const StatusMeaning &meaning : statusMeanings) {
        if (meaning.m_status == status)
            return meaning.m_kind;
    }
    return ErrorKind::Internal;
}

std::string textOf(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

std::uint64_t numberOf(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

} // namespace

ChangeAnswer readChangeAnswer(const HttpResponse &response)
{
    ChangeAnswer answer;
    const Json object = Json::parse(response.m_body, nullptr, false);
    std::string reason = "an entry answered with status " + std::to_string(response.m_status);
    if (object.is_object()) {
        answer.m_version = numberOf(object, "version");
        answer.m_text = textOf(object, "text");
        reason = textOf(object, "reason");
    }
    if (response.m_status != statusOk)
        answer.m_failure = errorFromBody(response.m_body)
                               .value_or(Failure{kindForStatus(response.m_status), reason});
    else if (answer.m_version == 0)
        answer.m_failure = Failure{ErrorKind::OutcomeUnknown, "the answer has no version"};
    return answer;
}

std::optional<Failure> errorFromBody(std::string_view body)
{
    const Json object = Json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("error") || !object["error"].is_object())
        return std::nullopt;
    const auto kind = errorKindFromString(textOf(object["error"], "kind"));
    if (!kind)
        return std::nullopt;
    return Failure{*kind, textOf(object["error"], "reason")};
}

std::optional<std::vector<MemberAddress>> membersFromBody(std::string_view body)
{
    const Json list = Json::parse(body, nullptr, false);
    if (!list.is_array())
        return std::nullopt;
    std::vector<MemberAddress> members;
    for (const Json &item : list) {
        if (!item.is_object())
            return std::nullopt;
        const auto address = SocketAddress::parse(textOf(item, "operators"));
        members.push_back({ProcessName(textOf(item, "name")), address.value_or(SocketAddress())});
    }
    return members;
}

} // namespace burdockhead
