#include <burdockhead/base/erroranswer.h>
#include <burdockhead/entry/agentlinks.h>
#include <burdockhead/entry/requestflow.h>
#include <burdockhead/observe/eventring.h>
#include <burdockhead/transport/workerpool.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr Milliseconds tickInterval{250};
// A started response without a frame for this long is resumed by a further attempt.
constexpr Seconds stallTimeout{5};

} // namespace

RequestFlow::RequestFlow(RequestFlowDependencies &dependencies, CallerRequest request,
                         std::shared_ptr<HttpResponder> responder,
                         std::function<void(const RequestId &)> onEnd)
    : m_dependencies(dependencies)
    , m_request(std::move(request))
    , m_onEnd(std::move(onEnd))
    , m_startedAt(Clock::now())
    , m_writer(std::move(responder), m_request.m_wantsStream)
{}

void RequestFlow::start()
{
    m_dependencies.m_observer.onAccepted(attributes());
    const Lock lock(m_mutex);
    scheduleTick();
    if (attributes().m_idempotencyKey.empty())
        routeNext();
    else
        startKeyed();
}

void RequestFlow::runLater(TimePoint when, void (RequestFlow::*step)())
{
    m_dependencies.m_pool.runAt(when, [weak = weak_from_this(), step] {
        const auto self = weak.lock();
        if (!self)
            return;
        const Lock lock(self->m_mutex);
        if (!self->m_hasEnded)
            (*self.*step)();
    });
}

void RequestFlow::scheduleTick()
{
    runLater(std::min(Clock::now() + tickInterval, attributes().m_deadline), &RequestFlow::onTick);
}

void RequestFlow::onTick()
{
    const TimePoint now = Clock::now();
    if (failIfDisconnectedOrExpired(now))
        return;
    if (!m_winner)
        m_writer.writeKeepAlive();
    hedgeIfDue(now);
    failStalledAttempt(now);
    if (!m_hasEnded)
        scheduleTick();
}

bool RequestFlow::failIfDisconnectedOrExpired(TimePoint now)
{
    if (m_writer.isCallerUnreachable())
        fail({ErrorKind::Cancelled, currentRunState(), "", {}, ""});
    else if (now >= attributes().m_deadline)
        fail({ErrorKind::DeadlineExceeded, currentRunState(), "", {}, ""});
    return m_hasEnded;
}

void RequestFlow::failStalledAttempt(TimePoint now)
{
    if (m_hasEnded || !m_winner || !attributes().m_repeatable)
        return;
    const Attempt *attempt = find(*m_winner);
    if (attempt == nullptr || now - attempt->m_lastFrameTime < stallTimeout)
        return;
    const AttemptId id = attempt->m_id;
    m_dependencies.m_links.cancel(attempt->m_target.m_linkAddress, id);
    onAttemptFailed(id, AttemptOutcome::Unreachable,
                    {ErrorKind::StreamBroken, RunState::Unknown, "the answer stalled", {}, ""}, {});
}

void RequestFlow::hedgeIfDue(TimePoint now)
{
    if (m_hasEnded || m_winner || !m_hedgeTime || now < *m_hedgeTime || m_attempts.size() != 1)
        return;
    m_hedgeTime.reset();
    std::optional<RouteTarget> target;
    {
        const auto router = m_dependencies.m_router.lock();
        if (!router->tryAcquireHedge(attributes(), now))
            return;
        std::vector<EndpointName> avoid = m_triedEndpoints;
        avoid.push_back(m_attempts.front().m_target.m_endpoint);
        target = router->route(attributes(), avoid, now).m_target;
    }
    if (target)
        dispatchTo(*target, true);
}

void RequestFlow::routeNext()
{
    const TimePoint now = Clock::now();
    const RouteDecision decision =
        m_dependencies.m_router.lock()->route(attributes(), m_triedEndpoints, now);
    if (decision.m_target)
        dispatchTo(*decision.m_target, false);
    else
        fail({decision.m_refusal->m_kind, m_mayHaveRun ? RunState::Unknown : RunState::NotRun, "",
              decision.m_refusal->m_retryAfter, ""});
}

void RequestFlow::dispatchTo(const RouteTarget &target, bool isHedge)
{
    const TimePoint now = Clock::now();
    Attempt attempt;
    attempt.m_id = {m_dependencies.m_issuer, ++m_dependencies.m_lastSequence};
    ++m_attemptCount;
    attempt.m_target = target;
    attempt.m_lastFrameTime = now;
    attempt.m_isHedge = isHedge;
    DispatchFrame frame;
    frame.m_attempt = attempt.m_id;
    frame.m_boundTo = target.m_incarnation;
    frame.m_facts = attributes();
    frame.m_method = m_request.m_method;
    frame.m_path = m_request.m_path;
    frame.m_contentType = m_request.m_contentType;
    frame.m_sentAt = m_dependencies.m_events.stamp();
    const std::uint64_t tokensSent = m_writer.tokensSent();
    frame.m_body = tokensSent == 0 ? m_request.m_body : resumedBody(m_request.m_body, tokensSent);
    {
        const auto router = m_dependencies.m_router.lock();
        frame.m_configurationVersion = router->configurationVersion();
        router->onDispatched(target.m_endpoint, now);
        if (!isHedge && attributes().m_repeatable)
            m_hedgeTime = router->hedgeTime(attributes(), now);
    }
    m_attempts.push_back(attempt);
    m_dependencies.m_observer.onDispatched(attributes(), target.m_endpoint);
    const auto weak = weak_from_this();
    const AttemptId id = attempt.m_id;
    m_dependencies.m_links.dispatch(target.m_linkAddress, std::move(frame),
                                    {[weak, id](const Frame &received) {
                                         if (const auto self = weak.lock())
                                             self->onFrame(id, received);
                                     },
                                     [weak, id](LinkLoss loss) {
                                         if (const auto self = weak.lock())
                                             self->onLoss(id, loss);
                                     }});
}

RequestFlow::Attempt *RequestFlow::find(const AttemptId &id)
{
    const auto found = std::find_if(m_attempts.begin(), m_attempts.end(),
                                    [&](const Attempt &attempt) { return attempt.m_id == id; });
    return found == m_attempts.end() ? nullptr : &*found;
}

void RequestFlow::onFrame(const AttemptId &id, const Frame &frame)
{
    const Lock lock(m_mutex);
    Attempt *attempt = m_hasEnded ? nullptr : find(id);
    if (attempt == nullptr)
        return;
    attempt->m_lastFrameTime = Clock::now();
    if (const auto *head = std::get_if<HeadFrame>(&frame))
        onHead(*attempt, *head);
    else if (const auto *data = std::get_if<DataFrame>(&frame))
        onData(*attempt, *data);
    else if (const auto *responseEnd = std::get_if<EndFrame>(&frame))
        onResponseEnd(*attempt, *responseEnd);
    else if (const auto *failure = std::get_if<FailureFrame>(&frame))
        onFailure(*attempt, *failure);
}

bool RequestFlow::selectWinner(Attempt &attempt)
{
    if (m_winner)
        return *m_winner == attempt.m_id;
    const AttemptId id = attempt.m_id;
    m_winner = id;
    m_writer.beginAttempt();
    cancelAttempts(&id);
    return true;
}

void RequestFlow::onHead(Attempt &attempt, const HeadFrame &head)
{
    m_dependencies.m_events.receive(head.m_sentAt);
    if (selectWinner(attempt))
        m_writer.setHead(head);
}

void RequestFlow::onData(Attempt &attempt, const DataFrame &data)
{
    if (!m_winner || *m_winner != attempt.m_id)
        return;
    if (data.m_offset == 0)
        m_dependencies.m_observer.onFirstData(attributes(), Clock::now() - m_startedAt);
    if (!m_writer.appendData(data.m_offset, data.m_data)) {
        const AttemptId id = attempt.m_id;
        m_dependencies.m_links.cancel(attempt.m_target.m_linkAddress, id);
        onAttemptFailed(id, AttemptOutcome::Failed,
                        {ErrorKind::StreamBroken, RunState::Unknown, "a piece is missing", {}, ""},
                        {});
    } else if (m_writer.isCallerUnreachable()) {
        fail({ErrorKind::Cancelled, RunState::Unknown, "", {}, ""});
    }
}

void RequestFlow::onResponseEnd(Attempt &attempt, const EndFrame &responseEnd)
{
    m_dependencies.m_events.receive(responseEnd.m_sentAt);
    if (!m_winner || *m_winner != attempt.m_id)
        return;
    if (!m_writer.complete(responseEnd.m_length)) {
        onAttemptFailed(
            attempt.m_id, AttemptOutcome::Failed,
            {ErrorKind::StreamBroken, RunState::Unknown, "the answer is not whole", {}, ""},
            responseEnd.m_load);
        return;
    }
    endAttempt(attempt, AttemptOutcome::Completed, responseEnd.m_load, "");
    m_attempts.clear();
    succeed();
}

void RequestFlow::onFailure(Attempt &attempt, const FailureFrame &failure)
{
    m_dependencies.m_events.receive(failure.m_sentAt);
    const AttemptOutcome outcome = failure.m_runState == RunState::NotRun
                                       ? AttemptOutcome::RefusedNotRun
                                       : AttemptOutcome::Failed;
    onAttemptFailed(attempt.m_id, outcome,
                    {failure.m_kind, failure.m_runState, failure.m_reason, failure.m_comeBack, ""},
                    failure.m_load);
}

void RequestFlow::onLoss(const AttemptId &id, LinkLoss loss)
{
    const Lock lock(m_mutex);
    if (m_hasEnded || find(id) == nullptr)
        return;
    const bool wasSent = loss == LinkLoss::Broken;
    onAttemptFailed(id, AttemptOutcome::Unreachable,
                    {ErrorKind::PeerUnreachable,
                     wasSent ? RunState::Unknown : RunState::NotRun,
                     "the agent's link is lost",
                     {},
                     ""},
                    {});
}

void RequestFlow::endAttempt(const Attempt &attempt, AttemptOutcome outcome,
                             const std::optional<LoadReport> &load, const std::string &reason)
{
    m_dependencies.m_links.unsubscribe(attempt.m_target.m_linkAddress, attempt.m_id);
    m_dependencies.m_router.lock()->onAttemptEnded(attempt.m_target.m_endpoint, outcome, load,
                                                   Clock::now(), attempt.m_target.m_incarnation);
    m_dependencies.m_observer.onAttemptEnded(attributes(), attempt.m_target.m_endpoint, outcome,
                                             reason);
}

void RequestFlow::cancelAttempts(const AttemptId *except)
{
    std::vector<Attempt> remaining;
    for (const Attempt &attempt : m_attempts) {
        if (except != nullptr && attempt.m_id == *except) {
            remaining.push_back(attempt);
            continue;
        }
        m_dependencies.m_links.cancel(attempt.m_target.m_linkAddress, attempt.m_id);
        endAttempt(attempt, AttemptOutcome::Cancelled, {}, "");
    }
    m_attempts = std::move(remaining);
}

void RequestFlow::onAttemptFailed(const AttemptId &id, AttemptOutcome outcome,
                                  const CallerError &error, const std::optional<LoadReport> &load)
{
    Attempt *found = find(id);
    if (found == nullptr)
        return;
    const Attempt attempt = *found;
    std::erase_if(m_attempts, [&](const Attempt &candidate) { return candidate.m_id == id; });
    endAttempt(attempt, outcome, load, toString(error.m_kind));
    m_triedEndpoints.push_back(attempt.m_target.m_endpoint);
    if (error.m_runState != RunState::NotRun)
        m_mayHaveRun = true;
    if (m_winner == id)
        m_winner.reset();
    if (!attributes().m_idempotencyKey.empty())
        onKeyedAttemptFailed(error);
    else if (m_attempts.empty())
        retryOrFail(error);
}

void RequestFlow::retryOrFail(const CallerError &error)
{
    const TimePoint now = Clock::now();
    if (!m_writer.isResumable() || now >= attributes().m_deadline) {
        fail(error);
        return;
    }
    const RetryDecision decision = m_dependencies.m_router.lock()->decideRetry(
        attributes(), error.m_kind, error.m_runState, m_attemptCount, now);
    if (!decision.m_retryAt || *decision.m_retryAt >= attributes().m_deadline) {
        fail(error);
        return;
    }
    if (*decision.m_retryAt <= now)
        routeNext();
    else
        runLater(*decision.m_retryAt, &RequestFlow::routeNext);
}

RunState RequestFlow::currentRunState() const
{
    return m_mayHaveRun || !m_attempts.empty() ? RunState::Unknown : RunState::NotRun;
}

void RequestFlow::endForStop()
{
    const Lock lock(m_mutex);
    if (m_hasEnded)
        return;
    const RunState runState = currentRunState();
    const ErrorKind kind = runState == RunState::NotRun ? ErrorKind::NotReady
                           : attributes().m_repeatable  ? ErrorKind::EndpointFailed
                                                        : ErrorKind::OutcomeUnknown;
    fail({kind, runState, "the entry stops", {}, ""});
}

void RequestFlow::succeed()
{
    const Duration elapsed = Clock::now() - m_startedAt;
    m_dependencies.m_router.lock()->recordCompletion(attributes(), elapsed);
    m_dependencies.m_observer.onCompleted(attributes(), elapsed);
    end();
}

void RequestFlow::fail(CallerError error)
{
    if (m_mayHaveRun && error.m_runState == RunState::NotRun)
        error.m_runState = RunState::Unknown;
    error.m_requestId = attributes().m_id.toString();
    m_writer.fail(error, Clock::now());
    m_dependencies.m_observer.onFailed(attributes(), error.m_kind, error.m_runState);
    cancelAttempts(nullptr);
    end();
}

void RequestFlow::end()
{
    m_hasEnded = true;
    // Posts the call, so that the owner does not destroy the flow while its lock is held.
    m_dependencies.m_pool.post(
        [self = shared_from_this()] { self->m_onEnd(self->attributes().m_id); });
}

} // namespace burdockhead
