#include <burdockhead/entry/keybinder.h>
#include <burdockhead/entry/requestflow.h>
#include <burdockhead/transport/workerpool.h>

#include <algorithm>

// The steps of a request that may not be repeated: its key is bound to one run of one agent
// before anything is sent, and it is only ever delivered to that run.
namespace burdockhead {

namespace {

constexpr Milliseconds redeliverInterval{100};
// How long a binding may name an agent that this entry has never heard of.
constexpr Seconds unheardLimit{3};

} // namespace

void RequestFlow::startKeyed()
{
    proposeBinding();
}

void RequestFlow::proposeBinding()
{
    const TimePoint now = Clock::now();
    const RouteDecision decision = m_parts.m_router.lock()->route(facts(), {}, now);
    const auto handler = [weak = weak_from_this()](const std::optional<Binding> &binding,
                                                   const Failure &failure) {
        if (const auto self = weak.lock()) {
            const Lock lock(self->m_mutex);
            if (!self->m_ended)
                self->onBound(binding, failure);
        }
    };
    if (decision.m_target) {
        const Binding proposal{decision.m_target->m_endpoint, decision.m_target->m_incarnation};
        m_parts.m_keys.bind(facts().m_workspace.text(), facts().m_idempotencyKey, proposal,
                            facts().m_deadline, handler);
        return;
    }
    // Nobody can take it as a new request, but it may have run before.
    const CallerError refusal{decision.m_refusal->m_kind, RunState::NotRun, "",
                              decision.m_refusal->m_retryAfter, ""};
    m_parts.m_keys.find(
        facts().m_workspace.text(), facts().m_idempotencyKey, facts().m_deadline,
        [weak = weak_from_this(), refusal](const std::optional<Binding> &binding, const Failure &) {
            const auto self = weak.lock();
            if (!self)
                return;
            const Lock lock(self->m_mutex);
            if (self->m_ended)
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
    deliverToBinding();
}

void RequestFlow::deliverToBinding()
{
    const TimePoint now = Clock::now();
    const auto known = m_parts.m_directory.lock()->find(m_binding->m_endpoint);
    const bool gone = known
                      && (known->m_incarnation > m_binding->m_incarnation
                          || (known->m_incarnation == m_binding->m_incarnation
                              && known->m_state == ReplicaState::Dead));
    const bool unheard = !known || known->m_incarnation < m_binding->m_incarnation;
    if (gone || (unheard && now - m_startedAt > unheardLimit)) {
        fail({ErrorKind::OutcomeUnknown,
              RunState::Unknown,
              "the agent that the key is bound to is gone",
              {},
              ""});
        return;
    }
    if (unheard) {
        redeliverSoon();
        return;
    }
    dispatchTo(
        {m_binding->m_endpoint, known->m_linkAddress, known->m_incarnation, known->m_dataCentre},
        false);
}

void RequestFlow::redeliverSoon()
{
    const TimePoint next = Clock::now() + redeliverInterval;
    if (next < facts().m_deadline)
        later(next, &RequestFlow::deliverToBinding);
}

void RequestFlow::keyedAttemptFailed(const CallerError &error)
{
    if (error.m_kind == ErrorKind::StaleIncarnation) {
        fail({ErrorKind::OutcomeUnknown,
              RunState::Unknown,
              "the agent that the key is bound to has restarted",
              {},
              ""});
        return;
    }
    // A broken link says nothing; asking the same run of the agent again is safe.
    if (error.m_kind == ErrorKind::PeerUnreachable)
        redeliverSoon();
    else
        fail(error);
}

} // namespace burdockhead
