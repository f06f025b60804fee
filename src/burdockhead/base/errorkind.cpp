#include <burdockhead/base/erroranswer.h>
#include <burdockhead/base/errorkind.h>

#include <array>

namespace burdockhead {

namespace {

using enum ErrorKind;
constexpr auto notRun = RunState::NotRun;
constexpr auto unknown = RunState::Unknown;

constexpr std::array<ErrorAnswer, errorKindCount> answers = {{
    {MalformedRequest, "malformed_request", 400, notRun, false, false,
     "The request can't be read."},
    {RequestTooLarge, "request_too_large", 413, notRun, false, false,
     "The request is larger than the limit."},
    {UnknownPath, "unknown_path", 404, notRun, false, false, "There is nothing under this path."},
    {UnknownModel, "unknown_model", 404, notRun, false, false, "No model group has this model."},
    {UnknownWorkspace, "unknown_workspace", 403, notRun, false, false,
     "The workspace is not in the configuration."},
    {InvalidCredential, "invalid_credential", 401, notRun, false, false,
     "No workspace holds this credential."},
    {UnknownKind, "unknown_kind", 400, notRun, false, false,
     "The kind of request is not in the configuration."},
    {KeyRequired, "key_required", 400, notRun, false, false,
     "This kind may not be repeated and needs an Idempotency-Key."},
    {KeyReusedForOtherRequest, "key_reused", 422, notRun, false, false,
     "The Idempotency-Key was used for another request."},
    {WorkspaceOverLimit, "workspace_over_limit", 429, notRun, false, true,
     "The workspace has used up its share."},
    {Overloaded, "overloaded", 503, notRun, true, true, "All capacity is in use."},
    {DeadlineTooShort, "deadline_too_short", 503, notRun, true, true,
     "The request could not be finished before its deadline."},
    {DeadlineExceeded, "deadline_exceeded", 504, unknown, false, true, "The deadline has passed."},
    {NoEndpoint, "no_endpoint", 503, notRun, false, true, "No endpoint can take this request now."},
    {EndpointCold, "endpoint_cold", 503, notRun, true, true,
     "The endpoint is in cold start and full."},
    {EndpointLeaving, "endpoint_leaving", 503, notRun, true, true, "The endpoint is leaving."},
    {DataCentreOut, "data_centre_out", 503, notRun, true, true,
     "The data centre is taken out of service."},
    {NotCurrent, "not_current", 503, notRun, true, true,
     "This process can't tell whether its configuration is the latest."},
    {NotReady, "not_ready", 503, notRun, true, true, "This process has no configuration yet."},
    {PromptQuarantined, "prompt_quarantined", 503, notRun, false, false,
     "A part of the prompt is in quarantine, since endpoints crashed on it."},
    {StaleIncarnation, "stale_incarnation", 409, notRun, false, false,
     "The request is bound to an earlier run of the endpoint's agent."},
    {StaleFence, "stale_fence", 409, notRun, false, false,
     "The order carries an old fencing number."},
    {OutcomeUnknown, "outcome_unknown", 502, unknown, false, false,
     "The request may have run and will not be repeated."},
    {EndpointFailed, "endpoint_failed", 502, unknown, true, true, "The endpoint failed."},
    {StreamBroken, "stream_broken", 502, unknown, true, true,
     "The answer broke off and could not be resumed."},
    {Cancelled, "cancelled", 499, unknown, false, false, "The caller gave up."},
    {PlatformUnavailable, "platform_unavailable", 503, notRun, false, true,
     "The platform's object API can't be reached."},
    {ConfigurationInvalid, "configuration_invalid", 400, notRun, false, false,
     "The configuration has errors."},
    {ConfigurationConflict, "configuration_conflict", 409, notRun, false, false,
     "The configuration was changed by somebody else."},
    {PeerUnreachable, "peer_unreachable", 502, notRun, true, true, "The process can't be reached."},
    {Internal, "internal", 500, unknown, false, false, "An unforeseen error."},
    {RequestQuarantined, "request_quarantined", 503, notRun, false, false,
     "The request is in quarantine, since endpoints crashed under it."},
}};

constexpr bool tableFollowsEnum()
{
    for (std::size_t index = 0; index < answers.size(); ++index) {
        if (static_cast<std::size_t>(answers[index].m_kind) != index)
            return false;
    }
    return true;
}

static_assert(tableFollowsEnum());

} // namespace

const ErrorAnswer &answerFor(ErrorKind kind)
{
    return answers.at(static_cast<std::size_t>(kind));
}

const char *toString(ErrorKind kind)
{
    return answerFor(kind).m_name;
}

std::optional<ErrorKind> errorKindFromString(std::string_view name)
{
    for (const ErrorAnswer &answer : answers) {
        if (name == answer.m_name)
            return answer.m_kind;
    }
    return std::nullopt;
}

const char *toString(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace burdockhead
