#include <burdockhead/entry/keybinder.h>
#include <burdockhead/entry/requestflow.h>
#include <burdockhead/transport/workerpool.h>

#include <algorithm>

// Handles requests that must not be repeated. The idempotency key is bound to one incarnation of
// an agent before dispatch, and the request is sent to that incarnation only.
namespace burdockhead {

namespace {

constexpr Milliseconds redispatchInterval{100};
// Time that a request waits for the announcement of the incarnation that its key is bound to.
constexpr Seconds announcementTimeout{3};

} // namespace

void RequestFlow::startKeyed()
{
    proposeBinding();
}

void RequestFlow::proposeBinding()
{
    const TimePoint now = Clock::now();
    const RouteDecision decision = m_dependencies.m_router.lock()->route(attributes(), {}, now);
    const auto handler = [weak = weak_from_this()](const std::optional<Binding> &binding,
                                                   const Failure &failure) {
        if (const auto self = weak.lock()) {
            const Lock lock(self->m_mutex);
            if (!self->m_hasEnded)
                self->onBound(binding, failure);
        }
    };
    if (decision.m_target) {
        const Binding proposal{decision.m_target->m_endpoint, decision.m_target->m_incarnation};
        m_dependencies.m_keyBinder.bind(attributes().m_workspace.text(),
                                        attributes().m_idempotencyKey, proposal,
                                        attributes().m_deadline, handler);
        return;
    }
    // No replica accepts a new request, but this one may have run before: looks up its binding.
    const CallerError refusal{decision.m_refusal->m_kind, RunState::NotRun, "",
                              decision.m_refusal->m_retryAfter, ""};
    m_dependencies.m_keyBinder.find(
        attributes().m_workspace.text(), attributes().m_idempotencyKey, attributes().m_deadline,
        [weak = weak_from_this(), refusal](const std::optional<Binding> &binding, const Failure &) {
            const auto self = weak.lock();
            if (!self)
                return;
            const Lock lock(self->m_mutex);
            if (self->m_hasEnded)
                return;
            if (binding)
                self->onBound(binding, {});
            else
                self->fail(refusal);
        });
}

void RequestFlow::onBound(const std::optional<Binding> &binding, const Failure &failure)
{
    if (!binding) {
        fail({failure.m_kind, RunState::NotRun, failure.m_reason, {}, ""});
        return;
    }
    m_binding = binding;
    dispatchToBoundAgent();
}

void RequestFlow::dispatchToBoundAgent()
{
    const TimePoint now = Clock::now();
    const auto announcement = m_dependencies.m_directory.lock()->find(m_binding->m_endpoint);
    const bool hasIncarnationEnded = announcement
                                     && (announcement->m_incarnation > m_binding->m_incarnation
                                         || (announcement->m_incarnation == m_binding->m_incarnation
                                             && announcement->m_state == ReplicaState::Dead));
    const bool isUnannounced =
        !announcement || announcement->m_incarnation < m_binding->m_incarnation;
    if (hasIncarnationEnded || (isUnannounced && now - m_startedAt > announcementTimeout)) {
        fail({ErrorKind::OutcomeUnknown,
              RunState::Unknown,
              "the agent that the key is bound to is gone",
              {},
              ""});
        return;
    }
    if (isUnannounced) {
        scheduleRedispatch();
        return;
    }
    dispatchTo({m_binding->m_endpoint, announcement->m_linkAddress, announcement->m_incarnation,
                announcement->m_dataCentre},
               false);
}

void RequestFlow::scheduleRedispatch()
{
    const TimePoint next = Clock::now() + redispatchInterval;
    if (next < attributes().m_deadline)
        runLater(next, &RequestFlow::dispatchToBoundAgent);
}

void RequestFlow::onKeyedAttemptFailed(const CallerError &error)
{
    if (error.m_kind == ErrorKind::StaleIncarnation) {
        fail({ErrorKind::OutcomeUnknown,
              RunState::Unknown,
              "the agent that the key is bound to has restarted",
              {},
              ""});
        return;
    }
    // A lost link leaves the outcome unknown; dispatching again to the same incarnation is safe.
    if (error.m_kind == ErrorKind::PeerUnreachable)
        scheduleRedispatch();
    else
        fail(error);
}

} // namespace burdockhead
