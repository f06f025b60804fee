#include <burdockhead/http/httprequest.h>
#include <burdockhead/operators/configurationclient.h>
#include <burdockhead/operators/configurationdifference.h>
#include <burdockhead/operators/operatorsprotocol.h>
#include <burdockhead/settings/valuetext.h>

#include <future>
#include <limits>
#include <memory>

namespace burdockhead {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusServerError = 500;

std::optional<std::uint64_t> versionHeader(const HttpResponse &response)
{
    const auto text = findHeader(response.m_headers, configurationVersionHeader);
    return text ? readNumber(*text, 0, std::numeric_limits<std::uint64_t>::max()) : std::nullopt;
}

// The response of a call in progress, written on the HTTP client's thread.
struct PendingCall
{
    HttpResponse m_response;
    std::promise<HttpOutcome> m_outcome;
};

// Makes a blocking call. The failure distinguishes a call that was never sent
// (PeerUnreachable) from one whose response was lost (OutcomeUnknown).
std::optional<HttpResponse> callOnce(HttpClient &http, HttpClientCall call, Failure &failure)
{
    const auto pending = std::make_shared<PendingCall>();
    HttpCallHandlers handlers;
    handlers.m_onHead = [pending](int status, const std::vector<HttpHeader> &headers) {
        pending->m_response.m_status = status;
        pending->m_response.m_headers = headers;
    };
    handlers.m_onData = [pending](std::string_view data) { pending->m_response.m_body += data; };
    handlers.m_onDone = [pending](const HttpOutcome &outcome) {
        pending->m_outcome.set_value(outcome);
    };
    auto futureOutcome = pending->m_outcome.get_future();
    http.start(std::move(call), std::move(handlers));
    const HttpOutcome outcome = futureOutcome.get();
    if (outcome.m_completed)
        return std::move(pending->m_response);
    failure = {outcome.m_sent ? ErrorKind::OutcomeUnknown : ErrorKind::PeerUnreachable,
               outcome.m_reason};
    return std::nullopt;
}

Failure failureFromResponse(const HttpResponse &response)
{
    return parseErrorBody(response.m_body)
        .value_or(Failure{ErrorKind::Internal,
                          "an entry responded with status " + std::to_string(response.m_status)});
}

} // namespace

ConfigurationClient::ConfigurationClient(std::vector<SocketAddress> entries, Milliseconds timeout)
    : m_entries(std::move(entries))
    , m_timeout(timeout)
{}

HttpClientCall ConfigurationClient::makeCall(const SocketAddress &entry,
                                             const std::string &path) const
{
    HttpClientCall call;
    call.m_url = "http://" + entry.toString() + path;
    call.m_deadline = Clock::now() + m_timeout;
    call.m_neverResend = true;
    return call;
}

std::optional<HttpResponse> ConfigurationClient::get(const std::string &path, Failure &failure)
{
    failure = {ErrorKind::PeerUnreachable, "no entry is given"};
    std::optional<HttpResponse> serverError;
    for (const SocketAddress &entry : m_entries) {
        auto response = m_http.callAndWait(makeCall(entry, path), failure);
        if (response && response->m_status < statusServerError) {
            m_lastResponder = entry;
            return response;
        }
        if (response)
            serverError = std::move(response);
        else
            failure.m_reason = entry.toString() + ": " + failure.m_reason;
    }
    return serverError;
}

std::optional<ConfigurationState> ConfigurationClient::read(Failure &failure)
{
    const auto response = get(configurationPath, failure);
    if (!response)
        return std::nullopt;
    if (response->m_status == statusNotFound)
        return ConfigurationState();
    const auto version = versionHeader(*response);
    if (response->m_status != statusOk || !version) {
        failure = failureFromResponse(*response);
        return std::nullopt;
    }
    return ConfigurationState{*version, response->m_body};
}

std::optional<HttpResponse> ConfigurationClient::put(std::uint64_t baseVersion,
                                                     const std::string &text, Failure &failure)
{
    HttpClientCall call = makeCall(m_lastResponder, configurationPath);
    call.m_method = "PUT";
    call.m_headers = {{"If-Match", std::to_string(baseVersion)}};
    call.m_body = text;
    return callOnce(m_http, std::move(call), failure);
}

std::optional<std::uint64_t> ConfigurationClient::write(std::uint64_t baseVersion,
                                                        const std::string &text, Failure &failure)
{
    m_conflictingState.reset();
    const auto response = put(baseVersion, text, failure);
    if (!response && failure.m_kind == ErrorKind::PeerUnreachable)
        return std::nullopt;
    if (!response)
        return readBack(baseVersion, text, failure);
    const ChangeResponse change = parseChangeResponse(*response);
    if (!change.m_failure)
        return change.m_version;
    failure = *change.m_failure;
    if (failure.m_kind == ErrorKind::OutcomeUnknown)
        return readBack(baseVersion, text, failure);
    if (failure.m_kind == ErrorKind::ConfigurationConflict && !change.m_text.empty())
        m_conflictingState = {change.m_version, change.m_text};
    return std::nullopt;
}

std::optional<ConfigurationState> ConfigurationClient::readAfterConflict(Failure &failure)
{
    return m_conflictingState ? m_conflictingState : read(failure);
}

std::optional<std::uint64_t>
ConfigurationClient::readBack(std::uint64_t baseVersion, const std::string &text, Failure &failure)
{
    Failure readFailure;
    const auto state = read(readFailure);
    if (state && state->m_version > baseVersion
        && configurationDifference(state->m_text, text).empty())
        return state->m_version;
    if (state && state->m_version > baseVersion) {
        failure = {ErrorKind::ConfigurationConflict, "another change is in force"};
        return std::nullopt;
    }
    failure = {ErrorKind::OutcomeUnknown,
               "the response was lost; the change may still be applied: check with show"};
    return std::nullopt;
}

} // namespace burdockhead
