#include <burdockhead/base/erroranswer.h>
#include <burdockhead/gateway/callflow.h>
#include <burdockhead/gateway/callrouter.h>
#include <burdockhead/http/httprequest.h>
#include <burdockhead/net/httpwriting.h>

#include <algorithm>

namespace burdockhead {

namespace {

// How long a connection to an endpoint may take: some round trips within a region.
constexpr Milliseconds connectTimeout{400};
// Connections that could not be made, after which a request is refused.
constexpr unsigned maxFailedConnects = 3;
// A kept connection that was idle for longer isn't used for what may run only once, since the
// endpoint may be closing it: bytes that cross the close leave the outcome unknown.
constexpr Milliseconds maxIdleOnce{500};
constexpr Milliseconds maxIdleRepeatable{4000};
// Bytes of an answer that is kept until it is whole.
constexpr std::size_t maxAnswerBytes = 16777216;
// The least time that is left for a stream's first event, way to the client included. A client
// whose patience ends asks no more, one that is refused before comes back.
constexpr Milliseconds leastFirstByte{250};
// When a client should come back if nothing better is known: about the time in which a
// gateway takes up a configuration, or a group of ranks opens again.
constexpr Milliseconds usualComeBack{500};
constexpr Milliseconds shortestComeBack{100};
constexpr Milliseconds longestComeBack{2500};
// The part of their time left for which clients wait at the most before they come back.
constexpr int longestWaitPart = 3;
constexpr int firstFailureStatus = 500;
// Another endpoint has the address, and how long it isn't tried again: the time in which
// service discovery learns of it.
constexpr int misdirectedStatus = 421;
constexpr Milliseconds misdirectedPause{2000};

Milliseconds inMilliseconds(Duration span)
{
    return std::chrono::duration_cast<Milliseconds>(span);
}

// Whether clients take the status to mean that the request has not run.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string text(Milliseconds span)
{
    return std::to_string(span.count());
}

} // namespace

CallFlow::CallFlow(CallRouter &router, std::shared_ptr<HttpExchange> exchange, WaiterId id)
    : m_router(router)
    , m_exchange(std::move(exchange))
    , m_arrivedAt(Clock::now())
{
    m_waiter.m_id = id;
    m_waiter.m_arrivedAt = m_arrivedAt;
}

CallFlow::~CallFlow()
{
    m_router.parts().m_loop.cancel(m_timer);
}

Milliseconds CallFlow::elapsed() const
{
    return inMilliseconds(Clock::now() - m_arrivedAt);
}

void CallFlow::start()
{
    m_facts = m_router.parts().m_dialect.readCall(m_exchange->head());
    if (!route())
        return;
    m_events = EventSplitter(m_facts.m_lastEvent);
    m_exchange->onClientGone([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->clientGone();
    });
    setTimer(m_giveUpAt);
    m_router.gate(m_service).retries().noteRequest(m_arrivedAt);
    enter();
}

// Finds the route, workspace and service; false when the request has been answered instead.
bool CallFlow::route()
{
    const auto &configuration = m_router.configuration();
    const HttpHead &request = m_exchange->head();
    // Another gateway serves at once; a store that gives no configuration is away for seconds.
    if (!configuration || m_router.refusesNew()) {
        refuse(ErrorKind::NotReady, configuration ? shortestComeBack : longestComeBack);
        return false;
    }
    m_configurationVersion = configuration->version();
    if (m_facts.m_id.empty()) {
        fail(ErrorKind::MalformedRequest, "no request id");
        return false;
    }
    const Route *found = configuration->findRoute(
        findHeader(request.m_headers, "Host").value_or(""), request.m_target);
    if (found == nullptr || found->m_services.empty()) {
        fail(ErrorKind::UnknownPath, "no route");
        return false;
    }
    m_route = *found;
    m_waiter.m_priority = m_route.m_priority;
    if (configuration->needsCredentials() && !m_route.m_isPublic) {
        const GatewayWorkspace *workspace = configuration->findWorkspace(m_facts.m_credential);
        if (workspace == nullptr) {
            fail(ErrorKind::InvalidCredential, "unknown credential");
            return false;
        }
        m_workspace = workspace->m_name;
        m_waiter.m_priority = workspace->m_priority.value_or(m_route.m_priority);
    }
    std::uint64_t total = 0;
    for (const WeightedService &service : m_route.m_services)
        total += service.m_weight;
    std::uint64_t place = total > 0 ? m_router.random()() % total : 0;
    m_service = m_route.m_services.back().m_service;
    for (const WeightedService &service : m_route.m_services) {
        if (place < service.m_weight) {
            m_service = service.m_service;
            break;
        }
        place -= service.m_weight;
    }
    m_giveUpAt =
        m_arrivedAt + std::min(m_route.m_timeout, m_facts.m_timeLeft.value_or(m_route.m_timeout));
    if (m_facts.m_timeLeft)
        m_age = m_router.clientAges().ageOf(m_route.m_name, *m_facts.m_timeLeft);
    m_waiter.m_givesUpAt = m_giveUpAt;
    return true;
}

void CallFlow::setTimer(TimePoint deadline)
{
    m_router.parts().m_loop.cancel(m_timer);
    m_timer = m_router.parts().m_loop.callAt(deadline, [this] {
        m_timer = 0;
        const auto self = shared_from_this();
        giveUp();
    });
}

// When a request that waits has to be sent to be of use: a client leaves a stream that brings
// no event for some time.
TimePoint CallFlow::startBy() const
{
    if (m_route.m_patience.count() == 0)
        return m_giveUpAt;
    const TimePoint lastEvent = m_lastEventAt == TimePoint() ? m_arrivedAt : m_lastEventAt;
    const Duration firstByte =
        std::max<Duration>(m_router.gate(m_service).usualFirstByte(), leastFirstByte);
    return std::min(m_giveUpAt, lastEvent + m_route.m_patience - firstByte);
}

// Sends the request, or lets it wait if that can still lead to an answer.
void CallFlow::enter()
{
    const TimePoint now = Clock::now();
    ServiceGate &gate = m_router.gate(m_service);
    if (m_router.parts().m_endpoints.usableCount(m_service, now) == 0) {
        if (m_mayHaveRun)
            fail(ErrorKind::EndpointFailed, "no endpoint is left");
        else
            refuse(ErrorKind::NoEndpoint, usualComeBack);
        return;
    }
    if (gate.line().size() == 0 && gate.mayStart(now) && dispatch())
        return;
    const Duration wait = gate.expectedWait(gate.line().ahead(m_waiter, now));
    if (now + wait > std::min(startBy(), m_giveUpAt - gate.usualTime()) && !m_mayHaveRun) {
        refuse(ErrorKind::Overloaded, comeBackTime());
        return;
    }
    waitInLine();
}

void CallFlow::waitInLine()
{
    m_isWaiting = true;
    m_waiter.m_onTimeUntil =
        m_arrivedAt - m_age + m_route.m_objective - m_router.gate(m_service).usualFirstByte();
    m_router.wait(m_service, m_waiter);
    setTimer(startBy());
}

bool CallFlow::dispatch()
{
    const TimePoint now = Clock::now();
    const GatewayParts &parts = m_router.parts();
    const std::size_t arrivalLimit = m_router.arrivalLimit(m_service);
    EndpointRequest choice = {m_service, arrivalLimit, m_tried, m_router.place(m_service)};
    KnownEndpointPointer endpoint = parts.m_endpoints.choose(choice, now);
    if (!endpoint && m_tried.size() >= parts.m_endpoints.usableCount(m_service, now)) {
        choice.m_tried.clear();
        endpoint = parts.m_endpoints.choose(choice, now);
    }
    if (!endpoint)
        return false;
    if (m_isWaiting)
        setTimer(m_giveUpAt);
    m_isWaiting = false;
    m_endpoint = std::move(endpoint);
    m_lastEndpoint = m_endpoint->m_entry.m_name;
    m_sentAt = now;
    m_answerHead.reset();
    m_answerFacts = {};
    m_answerBody.clear();
    m_isStreaming = false;
    m_events.restart();
    parts.m_endpoints.noteSent(*m_endpoint, now);
    m_router.gate(m_service).noteStarted();

    const HttpHead &request = m_exchange->head();
    const Milliseconds left = std::max(inMilliseconds(m_giveUpAt - now), Milliseconds(1));
    HttpHeaders headers = parts.m_dialect.endpointHeaders(
        request, {m_lastEndpoint, m_workspace, left, m_events.lastEvent()});
    if (!m_exchange->body().empty() || request.m_method != "GET")
        headers.push_back({"Content-Length", std::to_string(m_exchange->body().size())});
    std::string bytes = requestHead(request.m_method, request.m_target, headers);
    bytes += m_exchange->body();
    const HttpCallOptions options = {now + std::min(connectTimeout, left),
                                     m_route.isRepeatable() ? maxIdleRepeatable : maxIdleOnce,
                                     request.m_method == "HEAD"};
    parts.m_lines.add("sent", {{"request", m_facts.m_id},
                               {"route", m_route.m_name},
                               {"endpoint", m_lastEndpoint.text()},
                               {"attempt", std::to_string(m_attempts + 1)},
                               {"in_flight", std::to_string(m_endpoint->m_inFlight)},
                               {"config", std::to_string(m_configurationVersion)},
                               {"left_ms", text(left)},
                               {"elapsed_ms", text(elapsed())}});
    m_call = parts.m_client.call(m_endpoint->m_entry.m_address, bytes, options, *this);
    return true;
}

void CallFlow::releaseEndpoint(bool isServed)
{
    if (!m_endpoint)
        return;
    const auto endpoint = std::move(m_endpoint);
    m_endpoint.reset();
    m_router.parts().m_endpoints.noteEnded(*endpoint);
    m_router.gate(m_service).noteEnded(Clock::now() - m_sentAt, isServed);
}

void CallFlow::callHead(const HttpHead &head)
{
    const auto self = shared_from_this();
    m_answerFacts = m_router.parts().m_dialect.readAnswer(head);
    m_endpoint->m_lastAnswerAt = Clock::now();
    const bool isForeign = !m_answerFacts.m_id.empty() && m_answerFacts.m_id != m_facts.m_id;
    if (isForeign || m_answerFacts.m_isEncoded) {
        m_call.reset();
        attemptFailed(isForeign ? "answer to another request" : "encoded answer");
        return;
    }
    m_answerHead = head;
    m_isStreaming =
        m_route.m_kind == RouteKind::Stream && head.m_status == 200 && m_answerFacts.m_isSigned;
    if (!m_isStreaming)
        return;
    if (!m_exchange->hasStarted()) {
        m_streamHead = head;
        m_streamWeights = m_answerFacts.m_weights;
    } else if (m_streamWeights != m_answerFacts.m_weights) {
        m_call.reset();
        releaseEndpoint(false);
        fail(ErrorKind::StreamBroken, "other weights");
    }
}

void CallFlow::callBody(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (!m_endpoint)
        return;
    m_endpoint->m_lastAnswerAt = Clock::now();
    if (m_isStreaming) {
        forwardEvents(bytes);
        return;
    }
    m_answerBody.append(bytes);
    if (m_answerBody.size() > maxAnswerBytes) {
        m_call.reset();
        attemptFailed("answer too large");
    }
}

void CallFlow::noteEventTimes()
{
    const TimePoint now = Clock::now();
    ServiceGate &gate = m_router.gate(m_service);
    if (m_lastEventAt < m_sentAt)
        gate.noteFirstByte(now - m_sentAt, now);
    else
        gate.noteEventPause(now - m_lastEventAt, m_route.m_longestPause, now);
    m_lastEventAt = now;
}

void CallFlow::forwardEvents(std::string_view bytes)
{
    const std::string whole = m_events.take(bytes);
    if (!whole.empty()) {
        noteEventTimes();
        if (!m_exchange->hasStarted())
            m_exchange->startAnswer(m_streamHead->m_status, clientHeaders(*m_streamHead));
        m_exchange->sendPart(whole);
    }
    if (m_events.hasGap()) {
        m_call.reset();
        releaseEndpoint(false);
        fail(ErrorKind::StreamBroken, "event missing");
    }
}

void CallFlow::callEnded(CallEnd end)
{
    const auto self = shared_from_this();
    m_call.reset();
    switch (end) {
    case CallEnd::Complete:
        if (m_isStreaming)
            streamComplete();
        else
            answerComplete();
        return;
    case CallEnd::NotSent:
        m_endpoint->m_breaker.noteFailure(Clock::now());
        m_tried.push_back(m_lastEndpoint);
        releaseEndpoint(false);
        if (++m_failedConnects > maxFailedConnects)
            refuse(ErrorKind::NoEndpoint, usualComeBack);
        else
            enter();
        return;
    case CallEnd::Broken:
        attemptFailed("connection broke");
        return;
    case CallEnd::Malformed:
        attemptFailed("malformed answer");
        return;
    }
}

void CallFlow::streamComplete()
{
    if (m_events.hasPartial()) {
        attemptFailed("stream ended within an event");
        return;
    }
    m_endpoint->m_breaker.noteSuccess();
    releaseEndpoint(true);
    if (!m_exchange->hasStarted())
        m_exchange->startAnswer(m_streamHead->m_status, clientHeaders(*m_streamHead));
    m_exchange->finishAnswer();
    finish("served", m_streamHead->m_status, "");
}

void CallFlow::answerComplete()
{
    const int status = m_answerHead->m_status;
    if (m_answerFacts.m_isNotRun) {
        notRun();
        return;
    }
    ++m_attempts;
    const bool isFailure = status >= firstFailureStatus;
    const bool isUnsigned = status < 300 && !m_answerFacts.m_isSigned;
    if (isFailure || isUnsigned)
        m_endpoint->m_breaker.noteFailure(Clock::now());
    else
        m_endpoint->m_breaker.noteSuccess();
    releaseEndpoint(!isFailure);
    m_mayHaveRun = true;
    if ((isFailure || isUnsigned || m_exchange->hasStarted()) && m_route.isRepeatable()
        && tryAgain(isFailure ? "endpoint failed" : "answer without signature"))
        return;
    if (isUnsigned || m_exchange->hasStarted() || promisesNotRun(status))
        fail(ErrorKind::EndpointFailed, "no usable answer");
    else
        forwardWhole();
}

// The endpoint refused the request; nothing has run.
void CallFlow::notRun()
{
    const TimePoint now = Clock::now();
    const bool isOther = m_answerHead->m_status == misdirectedStatus;
    if (isOther) {
        // The endpoint is gone and never got the request; discovery will tell.
        m_endpoint->m_breaker.suspendUntil(now + misdirectedPause);
    } else {
        ++m_attempts;
        m_router.gate(m_service).noteRefused(now);
    }
    releaseEndpoint(false);
    if (tryAgain(isOther ? "another endpoint has the address" : "endpoint refused"))
        return;
    if (m_exchange->hasStarted() || m_mayHaveRun)
        fail(ErrorKind::EndpointFailed, "endpoint refused");
    else
        refuse(ErrorKind::Overloaded, comeBackTime());
}

// The answer is lost or unusable; the request may have run.
void CallFlow::attemptFailed(const char *reason)
{
    ++m_attempts;
    m_mayHaveRun = true;
    if (m_endpoint)
        m_endpoint->m_breaker.noteFailure(Clock::now());
    releaseEndpoint(false);
    if (m_route.isRepeatable() && tryAgain(reason))
        return;
    fail(m_route.isRepeatable() ? ErrorKind::EndpointFailed : ErrorKind::OutcomeUnknown, reason);
}

bool CallFlow::tryAgain(const char *reason)
{
    const TimePoint now = Clock::now();
    const GatewayParts &parts = m_router.parts();
    m_tried.push_back(m_lastEndpoint);
    const bool mayTry =
        m_attempts < m_route.m_maxAttempts && now < m_giveUpAt
        && m_router.gate(m_service).retries().take(parts.m_peers.fleetSize(now), now);
    parts.m_lines.add(mayTry ? "retried" : "not_retried",
                      {{"request", m_facts.m_id},
                       {"endpoint", m_lastEndpoint.text()},
                       {"reason", reason},
                       {"attempts", std::to_string(m_attempts)},
                       {"max_attempts", std::to_string(m_route.m_maxAttempts)},
                       {"fleet", std::to_string(parts.m_peers.fleetSize(now))},
                       {"elapsed_ms", text(elapsed())}});
    if (mayTry)
        enter();
    return mayTry;
}

HttpHeaders CallFlow::clientHeaders(const HttpHead &answer) const
{
    HttpHeaders headers;
    for (const HttpHeader &header : answer.m_headers) {
        if (!isConnectionHeader(header.m_name, answer.m_headers))
            headers.push_back(header);
    }
    return headers;
}

void CallFlow::forwardWhole()
{
    m_exchange->answer(m_answerHead->m_status, clientHeaders(*m_answerHead), m_answerBody);
    finish(m_answerHead->m_status < firstFailureStatus ? "served" : "endpoint_failed",
           m_answerHead->m_status, "");
}

void CallFlow::clientGone()
{
    if (m_isOver)
        return;
    m_call.reset();
    releaseEndpoint(false);
    finish("cancelled", 0, "client left");
}

void CallFlow::giveUp()
{
    if (m_isOver)
        return;
    if (m_endpoint || m_mayHaveRun) {
        m_call.reset();
        releaseEndpoint(false);
        fail(ErrorKind::DeadlineExceeded, "deadline");
    } else {
        refuse(ErrorKind::Overloaded, comeBackTime());
    }
}

// When there should be room: after those that wait now.
Milliseconds CallFlow::comeBackTime() const
{
    const Milliseconds base = m_router.gate(m_service).comeBackAfter();
    // Spread over half of the time, so that those refused together don't return together.
    const Milliseconds spread = base + base * static_cast<int>(m_router.random()() % 100) / 200;
    // Clients don't wait for longer than this.
    return std::min(spread, inMilliseconds(m_giveUpAt - Clock::now()) / longestWaitPart);
}

void CallFlow::refuse(ErrorKind kind, Milliseconds comeBackAfter)
{
    // A refusal says that the request has not run.
    if (m_exchange->hasStarted() || m_mayHaveRun) {
        fail(m_exchange->hasStarted() ? ErrorKind::StreamBroken : ErrorKind::EndpointFailed,
             toString(kind));
        return;
    }
    answerError(kind, m_router.parts().m_dialect.comeBackHeaders(comeBackAfter));
    finish("refused", answerFor(kind).m_httpStatus, toString(kind));
}

void CallFlow::fail(ErrorKind kind, const char *reason)
{
    if (m_exchange->hasStarted())
        m_exchange->breakOff();
    else
        answerError(kind, {});
    finish(toString(kind), answerFor(kind).m_httpStatus, reason);
}

void CallFlow::answerError(ErrorKind kind, HttpHeaders headers)
{
    headers.push_back({"Content-Type", "text/plain"});
    const ErrorAnswer &answer = answerFor(kind);
    m_exchange->answer(answer.m_httpStatus, std::move(headers), std::string(answer.m_text) + "\n");
}

void CallFlow::finish(const char *outcome, int status, const char *reason)
{
    if (m_isOver)
        return;
    m_isOver = true;
    const GatewayParts &parts = m_router.parts();
    parts.m_loop.cancel(m_timer);
    if (m_isWaiting)
        m_router.gate(m_service).line().remove(m_waiter.m_id);
    const Milliseconds took = elapsed();
    parts.m_lines.add("ended", {{"request", m_facts.m_id},
                                {"outcome", outcome},
                                {"status", std::to_string(status)},
                                {"reason", reason},
                                {"route", m_route.m_name},
                                {"endpoint", m_lastEndpoint.text()},
                                {"attempts", std::to_string(m_attempts)},
                                {"config", std::to_string(m_configurationVersion)},
                                {"elapsed_ms", text(took)}});
    parts.m_metrics.counter("burdockhead_gateway_requests_total", {{"outcome", outcome}}).add();
    parts.m_metrics.distribution("burdockhead_gateway_request_duration_seconds")
        .observe(std::chrono::duration<double>(took).count());
    const auto self = shared_from_this();
    m_router.forget(m_waiter.m_id);
    if (!m_service.empty())
        m_router.letWaitingGo(m_service);
}

} // namespace burdockhead
