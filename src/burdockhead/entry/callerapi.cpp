#include <burdockhead/entry/callerapi.h>
#include <burdockhead/entry/callerrequest.h>
#include <burdockhead/entry/errorresponse.h>
#include <burdockhead/entry/keystatuslookup.h>
#include <burdockhead/entry/requestflow.h>
#include <burdockhead/idempotency/ticket.h>
#include <burdockhead/membership/membershipservice.h>
#include <burdockhead/observe/wallclock.h>

#include <nlohmann/json.hpp>

namespace burdockhead {

namespace {

constexpr int okStatus = 200;
constexpr std::string_view keysPrefix = "/v1/keys/";

HttpResponse jsonResponse(const nlohmann::json &body)
{
    return {okStatus, {{"Content-Type", "application/json"}}, body.dump()};
}

bool isEndpointRequest(const HttpRequest &request)
{
    return (request.m_path == "/v1/chat/completions" && request.m_method == "POST")
           || request.m_path.starts_with("/v1/services/");
}

} // namespace

CallerApi::CallerApi(const ProcessLimits &limits, RequestFlowDependencies &dependencies,
                     FlowRegistry &flows, MembershipService &membership, std::uint64_t seed)
    : m_limits(limits)
    , m_dependencies(dependencies)
    , m_flows(flows)
    , m_membership(membership)
    , m_random(seed)
{}

void CallerApi::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (isEndpointRequest(request))
        startFlow(request, responder);
    else if (request.m_path == "/v1/addresses" && request.m_method == "GET")
        respondAddresses(*responder);
    else if (request.m_path == "/v1/tickets" && request.m_method == "POST")
        issueTicket(request, *responder);
    else if (request.m_path.starts_with(keysPrefix) && request.m_method == "GET")
        lookUpKeyStatus(request, responder);
    else
        refuse(*responder, ErrorKind::UnknownPath, request.m_method + " " + request.m_path);
}

void CallerApi::refuse(HttpResponder &responder, ErrorKind kind, const std::string &reason)
{
    responder.respond(errorResponse({kind, RunState::NotRun, reason, {}, ""}, Clock::now()));
}

std::optional<ErrorKind> CallerApi::currentRefusal() const
{
    if (m_refusesNew || !m_membership.isReady())
        return ErrorKind::NotReady;
    if (!m_membership.isCurrent())
        return ErrorKind::NotCurrent;
    return std::nullopt;
}

TimePoint CallerApi::addressesValidUntil() const
{
    return m_addressesValidUntil;
}

void CallerApi::respondAddresses(HttpResponder &responder)
{
    const ConfigurationPointer current = m_membership.configuration();
    if (!current) {
        refuse(responder, ErrorKind::NotReady, "");
        return;
    }
    nlohmann::json entries = nlohmann::json::array();
    for (const EntryInfo &entry : m_membership.entries()) {
        const bool isUsable = entry.m_state == ReplicaState::Alive
                              && !current->m_configuration.isTakenOut(entry.m_dataCentre);
        if (isUsable)
            entries.push_back({{"address", entry.m_callerAddress.toString()},
                               {"data_centre", entry.m_dataCentre.text()}});
    }
    if (!m_isLeaving)
        m_addressesValidUntil = Clock::now() + m_limits.m_addressLifetime;
    const auto validityMilliseconds =
        static_cast<std::uint64_t>(m_limits.m_addressLifetime.count());
    responder.respond(jsonResponse({{"entries", entries},
                                    {"valid_until_ms", wallMilliseconds() + validityMilliseconds},
                                    {"hold_ms", validityMilliseconds}}));
}

void CallerApi::startFlow(const HttpRequest &request,
                          const std::shared_ptr<HttpResponder> &responder)
{
    if (const auto refusal = currentRefusal()) {
        refuse(*responder, *refusal, "");
        return;
    }
    const ConfigurationPointer current = m_membership.configuration();
    Failure failure;
    auto parsed = parseCallerRequest(request, current->m_configuration, Clock::now(),
                                     *m_random.lock(), failure);
    if (!parsed) {
        refuse(*responder, failure.m_kind, failure.m_reason);
        return;
    }
    const auto flow =
        std::make_shared<RequestFlow>(m_dependencies, std::move(*parsed), responder,
                                      [this](const RequestId &id) { m_flows.remove(id); });
    if (m_flows.add(flow, m_limits.m_maxWaitingRequests))
        flow->start();
    else
        refuse(*responder, ErrorKind::Overloaded, "the entry has too many open requests");
}

void CallerApi::issueTicket(const HttpRequest &request, HttpResponder &responder)
{
    if (const auto refusal = currentRefusal()) {
        refuse(responder, *refusal, "");
        return;
    }
    const ConfigurationPointer current = m_membership.configuration();
    const KindName name(request.header("Burdockhead-Kind").value_or(""));
    const RequestKind *kind = current->m_configuration.kind(name);
    const WorkspaceName workspace(request.header("Burdockhead-Workspace").value_or(""));
    if (kind == nullptr || current->m_configuration.workspace(workspace) == nullptr) {
        refuse(responder, kind == nullptr ? ErrorKind::UnknownKind : ErrorKind::UnknownWorkspace,
               "");
        return;
    }
    RequestAttributes attributes;
    attributes.m_id = RequestId::draw(*m_random.lock());
    attributes.m_workspace = workspace;
    attributes.m_kind = name;
    attributes.m_model = ModelName(request.header("Burdockhead-Model").value_or(""));
    attributes.m_repeatable = kind->m_repeatable;
    attributes.m_deadline = Clock::now() + kind->m_deadline;
    const RouteDecision decision =
        m_dependencies.m_router.lock()->route(attributes, {}, Clock::now());
    if (!decision.m_target) {
        responder.respond(errorResponse({decision.m_refusal->m_kind, RunState::NotRun, "",
                                         decision.m_refusal->m_retryAfter, ""},
                                        Clock::now()));
        return;
    }
    const Ticket ticket{decision.m_target->m_endpoint, decision.m_target->m_incarnation,
                        m_dependencies.m_issuer, ++m_lastTicket};
    responder.respond(jsonResponse({{"ticket", ticket.toString()}}));
}

void CallerApi::lookUpKeyStatus(const HttpRequest &request,
                                const std::shared_ptr<HttpResponder> &responder)
{
    if (!m_membership.isReady()) {
        refuse(*responder, ErrorKind::NotReady, "");
        return;
    }
    const std::string workspace = request.header("Burdockhead-Workspace").value_or("");
    std::make_shared<KeyStatusLookup>(m_dependencies, workspace,
                                      request.m_path.substr(keysPrefix.size()), responder)
        ->start();
}

} // namespace burdockhead
