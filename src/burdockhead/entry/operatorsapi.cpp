#include <burdockhead/entry/errorresponse.h>
#include <burdockhead/entry/operatorsapi.h>
#include <burdockhead/membership/membershipservice.h>
#include <burdockhead/observe/eventring.h>
#include <burdockhead/process/operatorsport.h>
#include <burdockhead/process/processstart.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace burdockhead {

namespace {

constexpr Seconds applyTimeout{10};
constexpr int okStatus = 200;

// HTTP status and name of the outcome of a configuration change.
struct ApplyOutcomeStatus
{
    ApplyOutcome m_outcome;
    int m_status;
    const char *m_name;
};

constexpr ApplyOutcomeStatus outcomeStatuses[] = {
    {ApplyOutcome::Accepted, 200, "accepted"},
    {ApplyOutcome::Conflict, 409, "conflict"},
    {ApplyOutcome::Invalid, 400, "invalid"},
    {ApplyOutcome::Unknown, 502, "unknown"},
    {ApplyOutcome::PlatformUnavailable, 503, "unavailable"},
};

const ApplyOutcomeStatus &statusFor(ApplyOutcome outcome)
{
    return outcomeStatuses[static_cast<std::size_t>(outcome)];
}

std::optional<std::uint64_t> parseVersion(const std::string &text)
{
    std::uint64_t version = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, version);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return version;
}

std::string newNonce()
{
    return fmt::format("{:016x}{:016x}", systemSeed(), systemSeed());
}

} // namespace

OperatorsApi::OperatorsApi(MembershipService &membership, EventRing &events)
    : m_membership(membership)
    , m_events(events)
{}

void OperatorsApi::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (request.m_path == "/configuration" && request.m_method == "GET")
        showConfiguration(responder);
    else if (request.m_path == "/configuration" && request.m_method == "PUT")
        changeConfiguration(request, responder);
    else if (request.m_path == "/members" && request.m_method == "GET")
        listMembers(responder);
    else
        respondUnknownPath(request, responder);
}

void OperatorsApi::showConfiguration(HttpResponder &responder)
{
    const ConfigurationPointer current = m_membership.configuration();
    const std::string version = std::to_string(current ? current->m_version : 0);
    responder.respond(
        {okStatus,
         {{"Content-Type", "text/plain; charset=utf-8"}, {"X-Configuration-Version", version}},
         current ? current->m_text : std::string()});
}

void OperatorsApi::changeConfiguration(const HttpRequest &request, HttpResponder &responder)
{
    const auto version = parseVersion(request.header("If-Match").value_or(""));
    if (!version) {
        responder.respond(errorResponse({ErrorKind::MalformedRequest,
                                         RunState::NotRun,
                                         "If-Match must be the version that the change is based on",
                                         {},
                                         ""},
                                        Clock::now()));
        return;
    }
    const ApplyResult result =
        m_membership.apply(*version, request.m_body, newNonce(), Clock::now() + applyTimeout);
    const ApplyOutcomeStatus &outcomeStatus = statusFor(result.m_outcome);
    m_events.record(result.m_outcome == ApplyOutcome::Accepted ? EventType::ConfigurationApplied
                                                               : EventType::ConfigurationRefused,
                    {}, fmt::format("change on version {}: {}", *version, outcomeStatus.m_name));
    const nlohmann::json body{{"version", result.m_version},
                              {"outcome", outcomeStatus.m_name},
                              {"reason", result.m_reason},
                              {"text", result.m_text}};
    responder.respond(
        {outcomeStatus.m_status, {{"Content-Type", "application/json"}}, body.dump()});
}

void OperatorsApi::listMembers(HttpResponder &responder)
{
    nlohmann::json members = nlohmann::json::array();
    for (const MemberRecord &member : m_membership.members())
        members.push_back({{"name", member.m_name.text()},
                           {"role", member.m_role == VmRole::Entry ? "entry" : "agent"},
                           {"data_centre", member.m_dataCentre.text()},
                           {"operators", member.m_operatorAddress.toString()},
                           {"control", member.m_controlAddress.toString()},
                           {member.m_role == VmRole::Entry ? "callers" : "link",
                            member.m_serviceAddress.toString()},
                           {"incarnation", member.m_incarnation.m_value}});
    responder.respond({okStatus, {{"Content-Type", "application/json"}}, members.dump()});
}

} // namespace burdockhead
