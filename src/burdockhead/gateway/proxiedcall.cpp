#include <burdockhead/base/erroranswer.h>
#include <burdockhead/gateway/callrouter.h>
#include <burdockhead/gateway/proxiedcall.h>
#include <burdockhead/http/httprequest.h>
#include <burdockhead/net/connectionheaders.h>
#include <burdockhead/net/httpwriting.h>
#include <burdockhead/quarantine/requestfingerprint.h>

#include <algorithm>
#include <utility>

namespace burdockhead {

namespace {

// Connection timeout of endpoints: some round trips within a region.
constexpr Milliseconds connectTimeout{400};
// A request is refused when more connection attempts than this have failed.
constexpr unsigned maxFailedConnects = 3;
// A pooled connection that was idle for longer isn't used for a request that may run only once: the
// endpoint may be closing it, and it is unknown whether a request sent at that time has run.
constexpr Milliseconds maxIdleNonRepeatable{500};
constexpr Milliseconds maxIdleRepeatable{4000};
// Size limit of a buffered response.
constexpr std::size_t maxResponseBytes = 16777216;
// The endpoint isn't read while more of its events wait for the client.
constexpr std::size_t maxQueuedEventBytes = 65536;
// Slowness of an endpoint above which its streams are worth reading their prompts again elsewhere.
constexpr double minSlownessToMove = 3;
// Minimum time reserved for the first event of a stream, including the way to the client. A client
// that times out doesn't retry; one that is refused before does.
constexpr Milliseconds minFirstEventTime{250};
// Parts of rates that endpoints name change with demand: a request waits for one only if it is due
// in this fraction (1/n) of its time.
constexpr int paceReserve = 2;
// How long a request waits for its response after one to another request has come: this many mean
// times of its service, and at least the following.
constexpr int ownResponseFactor = 4;
constexpr Milliseconds minOwnResponseTime{500};
// Retry delays: the default is about the time in which a gateway applies a configuration or a
// stalled group of ranks accepts requests again.
constexpr Milliseconds defaultRetryDelay{500};
constexpr Milliseconds minRetryDelay{100};
constexpr Milliseconds maxRetryDelay{2500};
// Clients wait for at most this fraction (1/n) of their remaining time before a retry.
constexpr int retryDelayDivisor = 3;
// A request is taken while the process stops if this many times its service's mean time is left.
constexpr int stopReserve = 3;
constexpr int firstFailureStatus = 500;
// Status of a response from another endpoint at the address, and for how long the address isn't
// used: the time in which service discovery learns of the change.
constexpr int misdirectedStatus = 421;
constexpr Milliseconds misdirectedBackoff{2000};
// Parts of a prompt that a log line names.
constexpr std::size_t maxLoggedParts = 8;

Milliseconds toMilliseconds(Duration span)
{
    return std::chrono::duration_cast<Milliseconds>(span);
}

// Returns whether clients take the status to mean that the request has not run.
bool impliesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

// Returns the first parts of a prompt, separated by commas.
std::string toText(const std::vector<std::string> &parts)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(parts.size(), maxLoggedParts); ++index)
        text += (index == 0 ? "" : ",") + parts[index];
    return text;
}

std::string toText(Duration span)
{
    return std::to_string(toMilliseconds(span).count());
}

} // namespace

ProxiedCall::ProxiedCall(CallRouter &router, std::shared_ptr<HttpExchange> exchange, CallId id)
    : m_router(router)
    , m_exchange(std::move(exchange))
    , m_times(Clock::now())
    , m_guard(router.dependencies().m_promptGuard)
{
    m_queuedCall.m_id = id;
    m_queuedCall.m_arrivedAt = m_times.arrivedAt();
}

ProxiedCall::~ProxiedCall()
{
    m_router.dependencies().m_loop.cancel(m_timerId);
    m_router.dependencies().m_loop.cancel(m_ownResponseTimerId);
    clearResponseBody();
}

void ProxiedCall::clearResponseBody()
{
    m_router.responseBuffers().release(std::exchange(m_bufferedBytes, 0));
    m_responseBody.clear();
}

// Reserves room for that many bytes altogether, at the cost of a longer response if need be.
bool ProxiedCall::reserveBuffer(std::size_t bytes)
{
    BufferBudget &budget = m_router.responseBuffers();
    while (bytes > m_bufferedBytes && !budget.tryReserve(bytes - m_bufferedBytes)) {
        if (!m_router.giveUpLongestResponse(m_bufferedBytes))
            return false;
    }
    if (bytes < m_bufferedBytes)
        budget.release(m_bufferedBytes - bytes);
    m_bufferedBytes = bytes;
    return true;
}

void ProxiedCall::giveUpResponse()
{
    const auto self = shared_from_this();
    clearResponseBody();
    // Without a call the attempt has ended already.
    if (!m_call)
        return;
    m_call.reset();
    onAttemptFailed("answer too large");
}

Milliseconds ProxiedCall::elapsed() const
{
    return toMilliseconds(Clock::now() - m_times.arrivedAt());
}

void ProxiedCall::watchClient()
{
    m_exchange->onClientGone([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onClientDisconnected();
    });
    m_exchange->onDrained([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->m_call)
            self->m_call->resumeReading();
    });
}

void ProxiedCall::start()
{
    m_attributes = m_router.dependencies().m_protocol.parseRequest(m_exchange->head());
    if (!resolveRoute())
        return;
    const HttpHead &request = m_exchange->head();
    m_guard.identify(
        m_service, makePromptParts(m_service, m_attributes.m_promptParts),
        requestFingerprints({m_workspace, request.m_method,
                             findHeader(request.m_headers, "Host").value_or(""), request.m_target,
                             m_attributes.m_prompt, m_exchange->body()}));
    m_attributes.m_prompt = {}; // The head has it for as long as the request is in work.
    m_events = EventSplitter(m_attributes.m_lastEventId);
    if (mayOutlastProcess(m_times.arrivedAt())) {
        refuse(ErrorKind::NotReady, minRetryDelay);
        return;
    }
    // Is no load of the service, and earns no retries.
    if (isQuarantined()) {
        refuseQuarantined();
        return;
    }
    setTimer(m_deadline);
    m_router.limiter(m_service).recordArrival(m_times.arrivedAt());
    sendOrQueue();
}

// Finds the route, workspace and service; false if the request has been refused.
bool ProxiedCall::resolveRoute()
{
    const auto &configuration = m_router.configuration();
    const HttpHead &request = m_exchange->head();
    // When this gateway is stopping, another one can serve a retry at once. When the store hasn't
    // sent a configuration, it is unavailable for seconds.
    if (!configuration || m_router.refusesNew()) {
        refuse(ErrorKind::NotReady, configuration ? minRetryDelay : maxRetryDelay);
        return false;
    }
    m_configurationVersion = configuration->version();
    if (m_attributes.m_id.empty()) {
        fail(ErrorKind::MalformedRequest, "no request id");
        return false;
    }
    const Route *matchedRoute = configuration->findRoute(
        findHeader(request.m_headers, "Host").value_or(""), request.m_target);
    if (matchedRoute == nullptr || matchedRoute->m_services.empty()) {
        fail(ErrorKind::UnknownPath, "no route");
        return false;
    }
    m_route = *matchedRoute;
    m_queuedCall.m_priority = m_route.m_priority;
    if (configuration->needsCredentials() && !m_route.m_isPublic) {
        const GatewayWorkspace *workspace = configuration->findWorkspace(m_attributes.m_credential);
        if (workspace == nullptr) {
            fail(ErrorKind::InvalidCredential, "unknown credential");
            return false;
        }
        m_workspace = workspace->m_name;
        m_queuedCall.m_priority = workspace->m_priority.value_or(m_route.m_priority);
    }
    std::uint64_t totalWeight = 0;
    for (const WeightedService &service : m_route.m_services)
        totalWeight += service.m_weight;
    std::uint64_t weightPosition = totalWeight > 0 ? m_router.random()() % totalWeight : 0;
    m_service = m_route.m_services.back().m_service;
    for (const WeightedService &service : m_route.m_services) {
        if (weightPosition < service.m_weight) {
            m_service = service.m_service;
            break;
        }
        weightPosition -= service.m_weight;
    }
    m_deadline =
        m_times.arrivedAt()
        + std::min(m_route.m_timeout, m_attributes.m_remainingTime.value_or(m_route.m_timeout));
    if (m_attributes.m_remainingTime)
        m_earlierAttemptsTime = m_router.clientAgeEstimator().estimateAge(
            m_route.m_name, *m_attributes.m_remainingTime);
    m_queuedCall.m_deadline = m_deadline;
    return true;
}

void ProxiedCall::setTimer(TimePoint deadline)
{
    m_router.dependencies().m_loop.cancel(m_timerId);
    m_timerId = m_router.dependencies().m_loop.callAt(deadline, [this] {
        m_timerId = 0;
        const auto self = shared_from_this();
        onTimeout();
    });
}

// Returns until when a queued request is worth sending: clients abandon a stream that has no event
// for some time.
TimePoint ProxiedCall::latestUsefulStart() const
{
    if (m_route.m_eventTimeout.count() == 0)
        return m_deadline;
    const Duration firstEventTime =
        std::max<Duration>(m_router.limiter(m_service).averageFirstEventTime(), minFirstEventTime);
    return std::min(m_deadline, m_times.lastEventAt() + m_route.m_eventTimeout - firstEventTime);
}

// Sends the request, or queues it if it can still succeed.
void ProxiedCall::sendOrQueue()
{
    if (isQuarantined()) {
        refuseQuarantined();
        return;
    }
    const TimePoint now = Clock::now();
    m_times.recordQueued(now);
    if (!mayRiskEndpoint(now)) {
        refuse(ErrorKind::NoEndpoint, maxRetryDelay);
        return;
    }
    ServiceLimiter &limiter = m_router.limiter(m_service);
    if (m_router.dependencies().m_endpoints.usableCount(m_service, now) == 0) {
        if (m_mayHaveRun)
            fail(ErrorKind::EndpointFailed, "no endpoint is left");
        else
            refuse(ErrorKind::NoEndpoint, defaultRetryDelay);
        return;
    }
    if (const auto until = m_router.dependencies().m_endpoints.pausedUntil(m_service, now)) {
        refuse(ErrorKind::Overloaded, toMilliseconds(*until - now) + Milliseconds(1));
        return;
    }
    if (limiter.queue().size() == 0 && limiter.mayStart(now) && dispatch())
        return;
    const Duration queueingTime =
        std::max(limiter.expectedWait(limiter.queue().countAhead(m_queuedCall, now)),
                 paceReserve * m_router.pacedWait(m_service, now));
    if (now + queueingTime
            > std::min(latestUsefulStart(), m_deadline - limiter.averageServiceTime())
        && !m_mayHaveRun) {
        refuse(ErrorKind::Overloaded, jitteredRetryDelay());
        return;
    }
    enqueue();
}

void ProxiedCall::enqueue()
{
    m_isQueued = true;
    m_queuedCall.m_latestOnTimeStart = m_times.arrivedAt() - m_earlierAttemptsTime
                                       + m_route.m_firstByteObjective
                                       - m_router.limiter(m_service).averageFirstEventTime();
    m_router.enqueue(m_service, m_queuedCall);
    setTimer(latestUsefulStart());
}

bool ProxiedCall::dispatch()
{
    const TimePoint now = Clock::now();
    const GatewayDependencies &dependencies = m_router.dependencies();
    const std::size_t maxPerSecond = m_router.maxPerSecond(m_service);
    EndpointCriteria criteria = {m_service, maxPerSecond, m_triedEndpoints,
                                 m_router.position(m_service)};
    const PromptVerdict verdict = m_guard.judge(now);
    m_isIsolated = verdict != PromptVerdict::Admit;
    if (verdict == PromptVerdict::Wait || verdict == PromptVerdict::Refuse || !mayRiskEndpoint(now))
        return false;
    criteria.m_isIsolated = m_isIsolated;
    KnownEndpointPointer endpoint = dependencies.m_endpoints.select(criteria, now);
    if (!endpoint
        && m_triedEndpoints.size() >= dependencies.m_endpoints.usableCount(m_service, now)) {
        criteria.m_excluded.clear();
        endpoint = dependencies.m_endpoints.select(criteria, now);
    }
    if (!endpoint)
        return false;
    if (m_isQueued)
        setTimer(m_deadline);
    m_isQueued = false;
    m_endpoint = std::move(endpoint);
    m_lastEndpoint = m_endpoint->m_registration.m_name;
    m_times.recordDequeued(now);
    m_times.recordSent(now);
    m_responseHead.reset();
    m_responseAttributes = {};
    clearResponseBody();
    m_isStreaming = false;
    m_events.beginResponse();
    dependencies.m_endpoints.onRequestSent(*m_endpoint, now);
    m_pacerTicket = m_endpoint->m_pacer.begin();
    m_endpoint->m_isolatedInFlight += m_isIsolated ? 1 : 0;
    m_guard.beginAttempt(endpointRun(), now);
    m_router.limiter(m_service).onStarted();

    const HttpHead &request = m_exchange->head();
    const Milliseconds remainingTime = std::max(toMilliseconds(m_deadline - now), Milliseconds(1));
    HttpHeaders headers = dependencies.m_protocol.endpointHeaders(
        request, {m_lastEndpoint, m_workspace, remainingTime, m_events.lastEventId()});
    if (!m_exchange->body().empty() || request.m_method != "GET")
        headers.push_back({"Content-Length", std::to_string(m_exchange->body().size())});
    std::string bytes = requestHead(request.m_method, request.m_target, headers);
    bytes += m_exchange->body();
    const HttpCallOptions options = {now + std::min(connectTimeout, remainingTime),
                                     m_route.isRepeatable() ? maxIdleRepeatable
                                                            : maxIdleNonRepeatable,
                                     request.m_method == "HEAD",
                                     ResponseIdentity::Echo,
                                     {dependencies.m_protocol.identityHeader(), m_attributes.m_id}};
    dependencies.m_log.add("sent", {{"request", m_attributes.m_id},
                                    {"route", m_route.m_name},
                                    {"service", m_service.text()},
                                    {"endpoint", m_lastEndpoint.text()},
                                    {"repeat", m_isRepeat ? "yes" : "no"},
                                    {"attempt", std::to_string(m_attempts + 1)},
                                    {"in_flight", std::to_string(m_endpoint->m_inFlight)},
                                    {"rate", rateText(dependencies.m_rates.rateOf(endpointRun()))},
                                    {"config", std::to_string(m_configurationVersion)},
                                    {"workspace", m_workspace.text()},
                                    {"fingerprint", m_guard.fingerprints().front().m_id},
                                    {"content", m_guard.fingerprints().back().m_id},
                                    {"parts", toText(m_attributes.m_promptParts)},
                                    {"apart", m_isIsolated ? "yes" : "no"},
                                    {"left_ms", toText(remainingTime)},
                                    {"elapsed_ms", toText(elapsed())}});
    m_call =
        dependencies.m_client.call(m_endpoint->m_registration.m_address, bytes, options, *this);
    return true;
}

void ProxiedCall::releaseEndpoint(bool isSuccess)
{
    if (!m_endpoint)
        return;
    m_router.dependencies().m_loop.cancel(m_ownResponseTimerId);
    const auto endpoint = std::move(m_endpoint);
    m_endpoint.reset();
    endpoint->m_pacer.end(std::exchange(m_pacerTicket, 0), Clock::now());
    m_guard.endAttempt();
    m_router.dependencies().m_endpoints.onRequestEnded(*endpoint);
    if (m_isIsolated && endpoint->m_isolatedInFlight > 0)
        --endpoint->m_isolatedInFlight;
    m_router.limiter(m_service).onEnded(Clock::now() - m_times.sentAt(), isSuccess);
    endRetry(true);
}

void ProxiedCall::endRetry(bool wasSent)
{
    if (!std::exchange(m_holdsRetry, false))
        return;
    ServiceRetryBudget &budget = m_router.limiter(m_service).retryBudget();
    if (wasSent)
        budget.end(Clock::now());
    else
        budget.cancel();
}

EndpointRun ProxiedCall::endpointRun() const
{
    return {m_endpoint->m_registration.m_name, m_endpoint->m_registration.m_startedAt};
}

// The endpoint responds, and may blame another one for it.
void ProxiedCall::reportResponse()
{
    if (m_responseHead->m_status != misdirectedStatus)
        m_guard.recordResponse(Clock::now());
    if (!m_responseAttributes.m_faultyEndpoint.empty())
        m_guard.recordBlame(EndpointName(m_responseAttributes.m_faultyEndpoint), Clock::now());
}

// A response of another endpoint at the address says nothing of this one.
void ProxiedCall::reportRate()
{
    if (m_responseHead->m_status == misdirectedStatus)
        return;
    if (m_responseAttributes.m_isRateUnreadable) {
        m_router.dependencies().m_log.add("rate_unreadable", {{"request", m_attributes.m_id},
                                                              {"endpoint", m_lastEndpoint.text()}});
        return;
    }
    m_router.recordRate(
        {endpointRun(), m_responseAttributes.m_requestsPerSecond, m_times.sentAt(), Clock::now()});
}

// The endpoint may say that it leaves, or that it wants a pause.
void ProxiedCall::reportWishes()
{
    const TimePoint now = Clock::now();
    const GatewayDependencies &dependencies = m_router.dependencies();
    if (m_responseAttributes.m_isLeaving && dependencies.m_endpoints.recordLeaving(*m_endpoint))
        dependencies.m_log.add("endpoint_leaving", {{"endpoint", m_lastEndpoint.text()},
                                                    {"request", m_attributes.m_id}});
    if (m_responseAttributes.m_isPauseUnreadable)
        dependencies.m_log.add("pause_unreadable", {{"endpoint", m_lastEndpoint.text()},
                                                    {"request", m_attributes.m_id}});
    if (!m_responseAttributes.m_pause) {
        EndpointTable::recordResponse(*m_endpoint, now);
        return;
    }
    EndpointTable::recordPause(*m_endpoint, now + *m_responseAttributes.m_pause);
    dependencies.m_log.add("endpoint_paused",
                           {{"endpoint", m_lastEndpoint.text()},
                            {"request", m_attributes.m_id},
                            {"pause_ms", toText(*m_responseAttributes.m_pause)}});
}

void ProxiedCall::callHead(const HttpHead &head)
{
    const auto self = shared_from_this();
    m_router.dependencies().m_loop.cancel(m_ownResponseTimerId);
    m_responseAttributes = m_router.dependencies().m_protocol.parseResponse(head);
    m_endpoint->m_lastResponseAt = Clock::now();
    if (m_responseAttributes.m_isEncoded) {
        m_call.reset();
        onAttemptFailed("encoded answer");
        return;
    }
    m_responseHead = head;
    endRetry(true);
    m_endpoint->m_pacer.end(std::exchange(m_pacerTicket, 0), Clock::now());
    reportResponse();
    reportRate();
    reportWishes();
    m_isStreaming = m_route.m_kind == RouteKind::Stream && head.m_status == 200
                    && m_responseAttributes.m_isSigned;
    if (!m_isStreaming)
        return;
    if (!m_exchange->hasStarted()) {
        m_streamHead = head;
        m_streamWeightsVersion = m_responseAttributes.m_weightsVersion;
    } else if (m_streamWeightsVersion != m_responseAttributes.m_weightsVersion) {
        m_call.reset();
        releaseEndpoint(false);
        fail(ErrorKind::StreamBroken, "other weights");
    }
}

// The response to this request is still due.
void ProxiedCall::callStrayHead(const HttpHead &head)
{
    const auto self = shared_from_this();
    const GatewayDependencies &dependencies = m_router.dependencies();
    dependencies.m_log.add(
        "stray_response",
        {{"request", m_attributes.m_id},
         {"endpoint", m_lastEndpoint.text()},
         {"status", std::to_string(head.m_status)},
         {"other_request", dependencies.m_protocol.parseResponse(head).m_requestId}});
    dependencies.m_metrics.counter("burdockhead_gateway_stray_responses_total").add();
    if (m_ownResponseTimerId != 0)
        return;
    const Duration wait = std::max<Duration>(
        ownResponseFactor * m_router.limiter(m_service).averageServiceTime(), minOwnResponseTime);
    m_ownResponseTimerId = dependencies.m_loop.callAt(Clock::now() + wait, [this] {
        m_ownResponseTimerId = 0;
        const auto call = shared_from_this();
        onOwnResponseOverdue();
    });
}

void ProxiedCall::onOwnResponseOverdue()
{
    m_call.reset();
    onAttemptFailed("answer to another request");
}

void ProxiedCall::callBody(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (!m_endpoint)
        return;
    m_endpoint->m_lastResponseAt = Clock::now();
    if (m_isStreaming) {
        forwardEvents(bytes);
        return;
    }
    const std::size_t length = m_responseBody.size() + bytes.size();
    if (length > maxResponseBytes || !reserveBuffer(length)) {
        giveUpResponse();
        return;
    }
    m_responseBody.append(bytes);
}

void ProxiedCall::recordEventTimes()
{
    const TimePoint now = Clock::now();
    ServiceLimiter &limiter = m_router.limiter(m_service);
    if (m_times.hasEventSinceSent())
        limiter.recordEventInterval(now - m_times.lastEventAt(), m_route.m_maxEventInterval, now);
    else
        limiter.onFirstEvent(now - m_times.sentAt(), now);
    m_times.recordEvent(now);
}

void ProxiedCall::forwardEvents(std::string_view bytes)
{
    const std::string events = m_events.append(bytes);
    if (!events.empty()) {
        recordEventTimes();
        m_guard.recordEvent(Clock::now());
        m_guard.recordAnswer(m_times, false, Clock::now());
        if (!m_exchange->hasStarted())
            m_exchange->startAnswer(m_streamHead->m_status, clientHeaders(*m_streamHead));
        m_exchange->sendPart(events);
        if (m_call && m_exchange->queuedBytes() > maxQueuedEventBytes)
            m_call->pauseReading();
    }
    if (m_isFinished)
        return;
    if (m_events.isEventTooLong() || !reserveBuffer(m_events.partialBytes())) {
        m_call.reset();
        onAttemptFailed("event too long");
        return;
    }
    if (m_events.hasGap()) {
        m_call.reset();
        releaseEndpoint(false);
        fail(ErrorKind::StreamBroken, "event missing");
    }
}

void ProxiedCall::callEnded(CallEnd end)
{
    const auto self = shared_from_this();
    m_router.dependencies().m_loop.cancel(m_ownResponseTimerId);
    m_call.reset();
    switch (end) {
    case CallEnd::Complete:
        if (m_isStreaming)
            onStreamComplete();
        else
            onResponseComplete();
        return;
    case CallEnd::NotSent:
        m_guard.recordUnreachable(Clock::now());
        m_endpoint->m_breaker.recordFailure(Clock::now());
        m_triedEndpoints.push_back(m_lastEndpoint);
        m_router.dependencies().m_log.add("not_sent", {{"request", m_attributes.m_id},
                                                       {"endpoint", m_lastEndpoint.text()},
                                                       {"elapsed_ms", toText(elapsed())}});
        onNotSent();
        return;
    case CallEnd::Broken:
        onBroken("connection broke");
        return;
    case CallEnd::Malformed:
        onAttemptFailed("malformed answer");
        return;
    }
}

// A request that may have crashed its endpoint isn't sent to the next one before that is known.
void ProxiedCall::onBroken(const char *reason)
{
    m_guard.recordBroken(Clock::now());
    const bool maySendAgain = m_route.isRepeatable() && m_attempts + 1 < m_route.m_maxAttempts;
    m_isProbing = maySendAgain;
    m_router.dependencies().m_prober.probe(
        endpointRun(), m_endpoint->m_registration.m_address, [weak = weak_from_this(), reason] {
            const auto self = weak.lock();
            if (self && !self->m_isFinished && std::exchange(self->m_isProbing, false))
                self->onAttemptFailed(reason);
        });
    if (!maySendAgain)
        onAttemptFailed(reason);
}

bool ProxiedCall::mayRiskEndpoint(TimePoint now) const
{
    return !m_guard.needsSpareEndpoint(now) || m_router.hasSpareEndpoint(m_service, now);
}

// Nothing has reached an endpoint, so that a retry goes on to the next one.
void ProxiedCall::onNotSent()
{
    const bool holdsRetry = std::exchange(m_holdsRetry, false);
    m_endpoint->m_pacer.cancel(std::exchange(m_pacerTicket, 0));
    releaseEndpoint(false);
    m_holdsRetry = holdsRetry;
    if (++m_failedConnects > maxFailedConnects)
        refuse(ErrorKind::NoEndpoint, defaultRetryDelay);
    else
        sendOrQueue();
}

void ProxiedCall::onStreamComplete()
{
    if (m_events.hasPartialEvent()) {
        onBroken("stream ended within an event");
        return;
    }
    m_guard.recordAnswer(m_times, true, Clock::now());
    m_endpoint->m_breaker.recordSuccess();
    releaseEndpoint(true);
    if (!m_exchange->hasStarted())
        m_exchange->startAnswer(m_streamHead->m_status, clientHeaders(*m_streamHead));
    m_exchange->finishAnswer();
    finish("served", m_streamHead->m_status, "");
}

void ProxiedCall::onResponseComplete()
{
    const int status = m_responseHead->m_status;
    if (m_responseAttributes.m_isNotRun) {
        onNotRun();
        return;
    }
    ++m_attempts;
    const bool isFailure = status >= firstFailureStatus;
    const bool isUnsigned = status < 300 && !m_responseAttributes.m_isSigned;
    if (isFailure || isUnsigned)
        m_endpoint->m_breaker.recordFailure(Clock::now());
    else
        m_endpoint->m_breaker.recordSuccess();
    if (!isFailure && !isUnsigned)
        m_guard.recordAnswer(m_times, true, Clock::now());
    releaseEndpoint(!isFailure);
    m_mayHaveRun = true;
    if ((isFailure || isUnsigned || m_exchange->hasStarted()) && m_route.isRepeatable()
        && tryRetry(isFailure ? "endpoint failed" : "answer without signature"))
        return;
    if (isUnsigned || m_exchange->hasStarted() || impliesNotRun(status))
        fail(ErrorKind::EndpointFailed, "no usable answer");
    else
        forwardResponse();
}

// Handles a refusal: the endpoint has not run the request.
void ProxiedCall::onNotRun()
{
    const TimePoint now = Clock::now();
    const bool isMisdirected = m_responseHead->m_status == misdirectedStatus;
    if (isMisdirected) {
        // The endpoint no longer runs and never got the request; service discovery will remove it.
        m_endpoint->m_breaker.openUntil(now + misdirectedBackoff);
    } else {
        ++m_attempts;
        m_router.limiter(m_service).onRefused(now);
    }
    releaseEndpoint(false);
    if (tryRetry(isMisdirected ? "another endpoint has the address" : "endpoint refused"))
        return;
    if (m_exchange->hasStarted() || m_mayHaveRun)
        fail(ErrorKind::EndpointFailed, "endpoint refused");
    else
        refuse(ErrorKind::Overloaded, jitteredRetryDelay());
}

// Handles a lost or unusable response; the request may have run.
void ProxiedCall::onAttemptFailed(const char *reason)
{
    ++m_attempts;
    m_mayHaveRun = true;
    if (m_endpoint)
        m_endpoint->m_breaker.recordFailure(Clock::now());
    releaseEndpoint(false);
    if (m_route.isRepeatable() && tryRetry(reason))
        return;
    fail(m_route.isRepeatable() ? ErrorKind::EndpointFailed : ErrorKind::OutcomeUnknown, reason);
}

bool ProxiedCall::tryRetry(const char *reason)
{
    const TimePoint now = Clock::now();
    const GatewayDependencies &dependencies = m_router.dependencies();
    m_triedEndpoints.push_back(m_lastEndpoint);
    const double share = m_router.burstShare(now);
    ServiceRetryBudget &budget = m_router.limiter(m_service).retryBudget();
    const RetryBudgetState before = budget.state(share, now);
    const bool canRetry =
        m_attempts < m_route.m_maxAttempts && now < m_deadline && budget.tryBegin(share, now);
    dependencies.m_log.add(
        canRetry ? "retried" : "not_retried",
        {{"request", m_attributes.m_id},
         {"endpoint", m_lastEndpoint.text()},
         {"reason", reason},
         {"faulty", m_responseAttributes.m_faultyEndpoint},
         {"attempts", std::to_string(m_attempts)},
         {"max_attempts", std::to_string(m_route.m_maxAttempts)},
         {"fleet", std::to_string(dependencies.m_peers.gatewayCount(now))},
         {"budget_requests", std::to_string(before.m_requests)},
         {"budget_retries", std::to_string(before.m_retries)},
         {"budget_available", std::to_string(static_cast<int>(before.m_available))},
         {"elapsed_ms", toText(elapsed())}});
    if (canRetry) {
        m_isRepeat = true;
        m_holdsRetry = true;
        sendOrQueue();
    }
    return canRetry;
}

bool ProxiedCall::mayOutlastProcess(TimePoint now) const
{
    const ServiceLimiter &limiter = m_router.limiter(m_service);
    const Duration mayTake =
        std::min<Duration>(stopReserve * limiter.averageServiceTime(), m_deadline - now);
    return now + mayTake > m_router.servesUntil();
}

void ProxiedCall::endForStop()
{
    if (m_isFinished)
        return;
    if (!m_endpoint && !m_mayHaveRun) {
        refuse(ErrorKind::NotReady, minRetryDelay);
        return;
    }
    m_call.reset();
    releaseEndpoint(false);
    fail(m_route.isRepeatable() ? ErrorKind::EndpointFailed : ErrorKind::OutcomeUnknown,
         "gateway stops");
}

void ProxiedCall::moveFromSlowEndpoint()
{
    const GatewayDependencies &dependencies = m_router.dependencies();
    const TimePoint now = Clock::now();
    if (!m_endpoint || m_isProbing || m_route.m_kind != RouteKind::Stream || !m_route.isRepeatable()
        || dependencies.m_endpoints.slownessOf(*m_endpoint) < minSlownessToMove
        || m_attempts + 1 >= m_route.m_maxAttempts
        || !m_router.limiter(m_service).retryBudget().tryBegin(m_router.burstShare(now), now))
        return;
    dependencies.m_log.add("moved", {{"request", m_attributes.m_id},
                                     {"endpoint", m_lastEndpoint.text()},
                                     {"reason", "endpoint is slow"},
                                     {"elapsed_ms", toText(elapsed())}});
    ++m_attempts;
    m_mayHaveRun = true;
    m_isRepeat = true;
    m_call.reset();
    m_triedEndpoints.push_back(m_lastEndpoint);
    releaseEndpoint(false);
    m_holdsRetry = true;
    sendOrQueue();
}

HttpHeaders ProxiedCall::clientHeaders(const HttpHead &response) const
{
    HttpHeaders headers;
    const ConnectionHeaders connectionHeaders(response.m_headers);
    for (const HttpHeader &header : response.m_headers) {
        if (!connectionHeaders.contains(header.m_name))
            headers.push_back(header);
    }
    return headers;
}

void ProxiedCall::forwardResponse()
{
    m_exchange->answer(m_responseHead->m_status, clientHeaders(*m_responseHead), m_responseBody);
    finish(m_responseHead->m_status < firstFailureStatus ? "served" : "endpoint_failed",
           m_responseHead->m_status, "");
}

void ProxiedCall::onClientDisconnected()
{
    if (m_isFinished)
        return;
    m_call.reset();
    releaseEndpoint(false);
    finish("cancelled", 0, "client left");
}

void ProxiedCall::onTimeout()
{
    if (m_isFinished)
        return;
    if (m_endpoint || m_mayHaveRun) {
        m_call.reset();
        releaseEndpoint(false);
        fail(ErrorKind::DeadlineExceeded, "deadline");
    } else {
        refuse(ErrorKind::Overloaded, jitteredRetryDelay());
    }
}

// Returns the delay until capacity is expected, after the calls that are queued now.
Milliseconds ProxiedCall::jitteredRetryDelay() const
{
    const Milliseconds delay =
        m_router.limiter(m_service).retryDelay(m_router.pacedWait(m_service, Clock::now()));
    // Jitter of half the delay, so that clients refused together don't retry together.
    const Milliseconds jittered = delay + delay * static_cast<int>(m_router.random()() % 100) / 200;
    // Clients don't wait for longer than this.
    return std::min(jittered, toMilliseconds(m_deadline - Clock::now()) / retryDelayDivisor);
}

void ProxiedCall::refuse(ErrorKind kind, Milliseconds retryDelay)
{
    // A refusal implies that the request has not run.
    if (m_exchange->hasStarted() || m_mayHaveRun) {
        fail(m_exchange->hasStarted() ? ErrorKind::StreamBroken : ErrorKind::EndpointFailed,
             toString(kind));
        return;
    }
    sendError(kind, m_router.dependencies().m_protocol.retryAfterHeaders(retryDelay));
    finish("refused", answerFor(kind).m_httpStatus, toString(kind));
}

bool ProxiedCall::isQuarantined() const
{
    return m_guard.judge(Clock::now()) == PromptVerdict::Refuse;
}

// No time for a retry is given, since none is known.
void ProxiedCall::refuseQuarantined()
{
    const GatewayDependencies &dependencies = m_router.dependencies();
    const std::string part = m_guard.quarantinedId(Clock::now());
    if (part.empty()) {
        refuse(ErrorKind::NoEndpoint, maxRetryDelay);
        return;
    }
    const ErrorKind kind =
        isRequestFingerprint(part) ? ErrorKind::RequestQuarantined : ErrorKind::PromptQuarantined;
    dependencies.m_log.add("quarantine_refused", {{"request", m_attributes.m_id}, {"part", part}});
    dependencies.m_metrics.counter("burdockhead_gateway_quarantine_refusals_total").add();
    if (m_exchange->hasStarted() || m_mayHaveRun) {
        fail(m_exchange->hasStarted() ? ErrorKind::StreamBroken : ErrorKind::EndpointFailed,
             toString(kind));
        return;
    }
    sendError(kind, {});
    finish(toString(kind), answerFor(kind).m_httpStatus, part.c_str());
}

void ProxiedCall::fail(ErrorKind kind, const char *reason)
{
    if (m_exchange->hasStarted())
        m_exchange->breakOff();
    else
        sendError(kind, {});
    finish(toString(kind), answerFor(kind).m_httpStatus, reason);
}

void ProxiedCall::sendError(ErrorKind kind, HttpHeaders headers)
{
    headers.push_back({"Content-Type", "text/plain"});
    const ErrorAnswer &response = answerFor(kind);
    m_exchange->answer(response.m_httpStatus, std::move(headers),
                       std::string(response.m_text) + "\n");
}

void ProxiedCall::finish(const char *outcome, int status, const char *reason)
{
    if (m_isFinished)
        return;
    m_isFinished = true;
    endRetry(false);
    const GatewayDependencies &dependencies = m_router.dependencies();
    dependencies.m_loop.cancel(m_timerId);
    if (m_isQueued) {
        m_times.recordDequeued(Clock::now());
        m_router.limiter(m_service).queue().remove(m_queuedCall.m_id);
    }
    const Milliseconds totalTime = elapsed();
    dependencies.m_log.add("ended", {{"request", m_attributes.m_id},
                                     {"outcome", outcome},
                                     {"status", std::to_string(status)},
                                     {"reason", reason},
                                     {"route", m_route.m_name},
                                     {"endpoint", m_lastEndpoint.text()},
                                     {"attempts", std::to_string(m_attempts)},
                                     {"config", std::to_string(m_configurationVersion)},
                                     {"age_ms", toText(m_earlierAttemptsTime)},
                                     {"queued_ms", toText(m_times.queueingTime())},
                                     {"first_event_ms", toText(m_times.firstEventTime())},
                                     {"pause_ms", toText(m_times.longestPause())},
                                     {"elapsed_ms", toText(totalTime)}});
    dependencies.m_metrics.counter("burdockhead_gateway_requests_total", {{"outcome", outcome}})
        .add();
    dependencies.m_metrics.distribution("burdockhead_gateway_request_duration_seconds")
        .observe(std::chrono::duration<double>(totalTime).count());
    const auto self = shared_from_this();
    m_router.remove(m_queuedCall.m_id);
    if (!m_service.empty())
        m_router.dispatchQueued(m_service);
}

} // namespace burdockhead
