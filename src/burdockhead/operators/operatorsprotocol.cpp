#include <burdockhead/codec/boundedjson.h>
#include <burdockhead/operators/operatorsprotocol.h>

#include <nlohmann/json.hpp>

namespace burdockhead {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;

// Maps the status of a response to a change to an error kind.
struct StatusErrorKind
{
    int m_status;
    ErrorKind m_kind;
};

constexpr StatusErrorKind statusErrorKinds[] = {
    {400, ErrorKind::ConfigurationInvalid}, {409, ErrorKind::ConfigurationConflict},
    {502, ErrorKind::OutcomeUnknown},       {503, ErrorKind::PlatformUnavailable},
    {504, ErrorKind::OutcomeUnknown},
};

ErrorKind errorKindForStatus(int status)
{
    for (const StatusErrorKind &mapping : statusErrorKinds) {
        if (mapping.m_status == status)
            return mapping.m_kind;
    }
    return ErrorKind::Internal;
}

std::string stringField(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

std::uint64_t unsignedField(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

} // namespace

ChangeResponse parseChangeResponse(const HttpResponse &response)
{
    ChangeResponse change;
    const Json object = parseBoundedJsonOrDiscard(response.m_body);
    std::string reason = "an entry responded with status " + std::to_string(response.m_status);
    if (object.is_object()) {
        change.m_version = unsignedField(object, "version");
        change.m_text = stringField(object, "text");
        reason = stringField(object, "reason");
    }
    if (response.m_status != statusOk)
        change.m_failure = parseErrorBody(response.m_body)
                               .value_or(Failure{errorKindForStatus(response.m_status), reason});
    else if (change.m_version == 0)
        change.m_failure = Failure{ErrorKind::OutcomeUnknown, "the response has no version"};
    return change;
}

std::optional<Failure> parseErrorBody(std::string_view body)
{
    const Json object = parseBoundedJsonOrDiscard(body);
    if (!object.is_object() || !object.contains("error") || !object["error"].is_object())
        return std::nullopt;
    const auto kind = errorKindFromString(stringField(object["error"], "kind"));
    if (!kind)
        return std::nullopt;
    return Failure{*kind, stringField(object["error"], "reason")};
}

std::optional<std::vector<MemberAddress>> parseMembers(std::string_view body)
{
    const Json list = parseBoundedJsonOrDiscard(body);
    if (!list.is_array())
        return std::nullopt;
    std::vector<MemberAddress> members;
    for (const Json &item : list) {
        if (!item.is_object())
            return std::nullopt;
        const auto address = SocketAddress::parse(stringField(item, "operators"));
        members.push_back(
            {ProcessName(stringField(item, "name")), address.value_or(SocketAddress())});
    }
    return members;
}

} // namespace burdockhead
