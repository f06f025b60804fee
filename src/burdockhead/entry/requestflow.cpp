#include <burdockhead/base/erroranswer.h>
#include <burdockhead/entry/agentlinks.h>
#include <burdockhead/entry/requestflow.h>
#include <burdockhead/observe/eventring.h>
#include <burdockhead/transport/workerpool.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr Milliseconds tickInterval{250};
// An answer that has begun and says nothing for this long is resumed elsewhere.
constexpr Seconds stallLimit{5};

} // namespace

RequestFlow::RequestFlow(FlowParts &parts, CallerRequest request,
                         std::shared_ptr<HttpResponder> responder,
                         std::function<void(const RequestId &)> onEnd)
    : m_parts(parts)
    , m_request(std::move(request))
    , m_onEnd(std::move(onEnd))
    , m_startedAt(Clock::now())
    , m_writer(std::move(responder), m_request.m_stream)
{}

void RequestFlow::start()
{
    m_parts.m_observer.accepted(facts());
    const Lock lock(m_mutex);
    scheduleTick();
    if (facts().m_idempotencyKey.empty())
        routeNext();
    else
        startKeyed();
}

// Runs a step later under the flow's lock, unless the flow has ended by then.
void RequestFlow::later(TimePoint when, void (RequestFlow::*step)())
{
    m_parts.m_pool.runAt(when, [weak = weak_from_this(), step] {
        const auto self = weak.lock();
        if (!self)
            return;
        const Lock lock(self->m_mutex);
        if (!self->m_ended)
            (*self.*step)();
    });
}

void RequestFlow::scheduleTick()
{
    later(std::min(Clock::now() + tickInterval, facts().m_deadline), &RequestFlow::tick);
}

void RequestFlow::tick()
{
    const TimePoint now = Clock::now();
    if (giveUpWhenOver(now))
        return;
    if (!m_winner)
        m_writer.keepAlive();
    hedgeWhenSlow(now);
    checkStalled(now);
    if (!m_ended)
        scheduleTick();
}

bool RequestFlow::giveUpWhenOver(TimePoint now)
{
    if (m_writer.callerGone())
        fail({ErrorKind::Cancelled, runStateNow(), "", {}, ""});
    else if (now >= facts().m_deadline)
        fail({ErrorKind::DeadlineExceeded, runStateNow(), "", {}, ""});
    return m_ended;
}

void RequestFlow::checkStalled(TimePoint now)
{
    if (m_ended || !m_winner || !facts().m_repeatable)
        return;
    const Attempt *attempt = find(*m_winner);
    if (attempt == nullptr || now - attempt->m_lastHeard < stallLimit)
        return;
    const AttemptId id = attempt->m_id;
    m_parts.m_links.cancel(attempt->m_target.m_linkAddress, id);
    attemptFailed(id, AttemptOutcome::Unreachable,
                  {ErrorKind::StreamBroken, RunState::Unknown, "the answer stalled", {}, ""}, {});
}

void RequestFlow::hedgeWhenSlow(TimePoint now)
{
    if (m_ended || m_winner || !m_hedgeAt || now < *m_hedgeAt || m_attempts.size() != 1)
        return;
    m_hedgeAt.reset();
    std::optional<RouteTarget> target;
    {
        const auto router = m_parts.m_router.lock();
        if (!router->tryAcquireHedge(facts(), now))
            return;
        std::vector<EndpointName> avoid = m_tried;
        avoid.push_back(m_attempts.front().m_target.m_endpoint);
        target = router->route(facts(), avoid, now).m_target;
    }
    if (target)
        dispatchTo(*target, true);
}

void RequestFlow::routeNext()
{
    const TimePoint now = Clock::now();
    const RouteDecision decision = m_parts.m_router.lock()->route(facts(), m_tried, now);
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
    attempt.m_id = {m_parts.m_issuer, ++m_parts.m_lastSequence};
    ++m_attemptCount;
    attempt.m_target = target;
    attempt.m_lastHeard = now;
    attempt.m_isHedge = isHedge;
    DispatchFrame frame;
    frame.m_attempt = attempt.m_id;
    frame.m_boundTo = target.m_incarnation;
    frame.m_facts = facts();
    frame.m_method = m_request.m_method;
    frame.m_path = m_request.m_path;
    frame.m_contentType = m_request.m_contentType;
    frame.m_sentAt = m_parts.m_events.stamp();
    const std::uint64_t sent = m_writer.tokensSent();
    frame.m_body = sent == 0 ? m_request.m_body : resumedBody(m_request.m_body, sent);
    {
        const auto router = m_parts.m_router.lock();
        frame.m_configurationVersion = router->configurationVersion();
        router->onDispatched(target.m_endpoint, now);
        if (!isHedge && facts().m_repeatable)
            m_hedgeAt = router->hedgeTime(facts(), now);
    }
    m_attempts.push_back(attempt);
    m_parts.m_observer.dispatched(facts(), target.m_endpoint);
    const auto weak = weak_from_this();
    const AttemptId id = attempt.m_id;
    m_parts.m_links.dispatch(target.m_linkAddress, std::move(frame),
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
    Attempt *attempt = m_ended ? nullptr : find(id);
    if (attempt == nullptr)
        return;
    attempt->m_lastHeard = Clock::now();
    if (const auto *head = std::get_if<HeadFrame>(&frame))
        onHead(*attempt, *head);
    else if (const auto *data = std::get_if<DataFrame>(&frame))
        onData(*attempt, *data);
    else if (const auto *answerEnd = std::get_if<EndFrame>(&frame))
        onAnswerEnd(*attempt, *answerEnd);
    else if (const auto *failure = std::get_if<FailureFrame>(&frame))
        onFailure(*attempt, *failure);
}

// The first attempt that answers wins; the others are cancelled.
bool RequestFlow::makeWinner(Attempt &attempt)
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
    m_parts.m_events.receive(head.m_sentAt);
    if (makeWinner(attempt))
        m_writer.takeHead(head);
}

void RequestFlow::onData(Attempt &attempt, const DataFrame &data)
{
    if (!m_winner || *m_winner != attempt.m_id)
        return;
    if (data.m_offset == 0)
        m_parts.m_observer.firstData(facts(), Clock::now() - m_startedAt);
    if (!m_writer.takeData(data.m_offset, data.m_data)) {
        const AttemptId id = attempt.m_id;
        m_parts.m_links.cancel(attempt.m_target.m_linkAddress, id);
        attemptFailed(id, AttemptOutcome::Failed,
                      {ErrorKind::StreamBroken, RunState::Unknown, "a piece is missing", {}, ""},
                      {});
    } else if (m_writer.callerGone()) {
        fail({ErrorKind::Cancelled, RunState::Unknown, "", {}, ""});
    }
}

void RequestFlow::onAnswerEnd(Attempt &attempt, const EndFrame &answerEnd)
{
    m_parts.m_events.receive(answerEnd.m_sentAt);
    if (!m_winner || *m_winner != attempt.m_id)
        return;
    if (!m_writer.takeEnd(answerEnd.m_length)) {
        attemptFailed(
            attempt.m_id, AttemptOutcome::Failed,
            {ErrorKind::StreamBroken, RunState::Unknown, "the answer is not whole", {}, ""},
            answerEnd.m_load);
        return;
    }
    endAttempt(attempt, AttemptOutcome::Completed, answerEnd.m_load, "");
    m_attempts.clear();
    succeed();
}

void RequestFlow::onFailure(Attempt &attempt, const FailureFrame &failure)
{
    m_parts.m_events.receive(failure.m_sentAt);
    const AttemptOutcome outcome = failure.m_runState == RunState::NotRun
                                       ? AttemptOutcome::RefusedNotRun
                                       : AttemptOutcome::Failed;
    attemptFailed(attempt.m_id, outcome,
                  {failure.m_kind, failure.m_runState, failure.m_reason, failure.m_comeBack, ""},
                  failure.m_load);
}

void RequestFlow::onLoss(const AttemptId &id, LinkLoss loss)
{
    const Lock lock(m_mutex);
    if (m_ended || find(id) == nullptr)
        return;
    const bool sent = loss == LinkLoss::Broken;
    attemptFailed(id, AttemptOutcome::Unreachable,
                  {ErrorKind::PeerUnreachable,
                   sent ? RunState::Unknown : RunState::NotRun,
                   "the agent's link is lost",
                   {},
                   ""},
                  {});
}

void RequestFlow::endAttempt(const Attempt &attempt, AttemptOutcome outcome,
                             const std::optional<LoadReport> &load, const std::string &reason)
{
    m_parts.m_links.forget(attempt.m_target.m_linkAddress, attempt.m_id);
    m_parts.m_router.lock()->onAttemptEnded(attempt.m_target.m_endpoint, outcome, load,
                                            Clock::now(), attempt.m_target.m_incarnation);
    m_parts.m_observer.attemptEnded(facts(), attempt.m_target.m_endpoint, outcome, reason);
}

void RequestFlow::cancelAttempts(const AttemptId *except)
{
    std::vector<Attempt> kept;
    for (const Attempt &attempt : m_attempts) {
        if (except != nullptr && attempt.m_id == *except) {
            kept.push_back(attempt);
            continue;
        }
        m_parts.m_links.cancel(attempt.m_target.m_linkAddress, attempt.m_id);
        endAttempt(attempt, AttemptOutcome::Cancelled, {}, "");
    }
    m_attempts = std::move(kept);
}

void RequestFlow::attemptFailed(const AttemptId &id, AttemptOutcome outcome,
                                const CallerError &error, const std::optional<LoadReport> &load)
{
    Attempt *found = find(id);
    if (found == nullptr)
        return;
    const Attempt attempt = *found;
    std::erase_if(m_attempts, [&](const Attempt &other) { return other.m_id == id; });
    endAttempt(attempt, outcome, load, toString(error.m_kind));
    m_tried.push_back(attempt.m_target.m_endpoint);
    if (error.m_runState != RunState::NotRun)
        m_mayHaveRun = true;
    if (m_winner == id)
        m_winner.reset();
    if (!facts().m_idempotencyKey.empty())
        keyedAttemptFailed(error);
    else if (m_attempts.empty())
        retryOrFail(error);
}

void RequestFlow::retryOrFail(const CallerError &error)
{
    const TimePoint now = Clock::now();
    if (!m_writer.resumable() || now >= facts().m_deadline) {
        fail(error);
        return;
    }
    const RetryDecision retry = m_parts.m_router.lock()->decideRetry(
        facts(), error.m_kind, error.m_runState, m_attemptCount, now);
    if (!retry.m_retryAt || *retry.m_retryAt >= facts().m_deadline) {
        fail(error);
        return;
    }
    if (*retry.m_retryAt <= now)
        routeNext();
    else
        later(*retry.m_retryAt, &RequestFlow::routeNext);
}

RunState RequestFlow::runStateNow() const
{
    return m_mayHaveRun || !m_attempts.empty() ? RunState::Unknown : RunState::NotRun;
}

void RequestFlow::succeed()
{
    const Duration elapsed = Clock::now() - m_startedAt;
    m_parts.m_router.lock()->recordCompletion(facts(), elapsed);
    m_parts.m_observer.completed(facts(), elapsed);
    end();
}

void RequestFlow::fail(CallerError error)
{
    if (m_mayHaveRun && error.m_runState == RunState::NotRun)
        error.m_runState = RunState::Unknown;
    error.m_requestId = facts().m_id.toString();
    m_writer.fail(error, Clock::now());
    m_parts.m_observer.failed(facts(), error.m_kind, error.m_runState);
    cancelAttempts(nullptr);
    end();
}

void RequestFlow::end()
{
    m_ended = true;
    // Posted, so that the owner never destroys the flow while its lock is held.
    m_parts.m_pool.post([self = shared_from_this()] { self->m_onEnd(self->facts().m_id); });
}

} // namespace burdockhead
