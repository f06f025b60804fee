#include <burdockhead/entry/agentlinks.h>
#include <burdockhead/entry/errorresponse.h>
#include <burdockhead/entry/keybinder.h>
#include <burdockhead/entry/keylookup.h>
#include <burdockhead/transport/workerpool.h>

#include <nlohmann/json.hpp>

namespace burdockhead {

namespace {

constexpr Seconds lookUpLimit{5};
constexpr int okStatus = 200;

} // namespace

KeyLookUp::KeyLookUp(FlowParts &parts, std::string workspace, std::string key,
                     std::shared_ptr<HttpResponder> responder)
    : m_parts(parts)
    , m_workspace(std::move(workspace))
    , m_key(std::move(key))
    , m_responder(std::move(responder))
{}

void KeyLookUp::start()
{
    m_parts.m_keys.find(
        m_workspace, m_key, Clock::now() + lookUpLimit,
        [self = shared_from_this()](const std::optional<Binding> &binding, const Failure &failure) {
            self->onBinding(binding, failure);
        });
    m_parts.m_pool.runAt(Clock::now() + lookUpLimit,
                         [self = shared_from_this()] { self->answer("unknown", 0); });
}

void KeyLookUp::onBinding(const std::optional<Binding> &binding, const Failure &failure)
{
    if (!binding) {
        const bool unbound = failure.m_kind == ErrorKind::NoEndpoint;
        answer(unbound ? "not_run" : "unknown", 0);
        return;
    }
    const auto known = m_parts.m_directory.lock()->find(binding->m_endpoint);
    if (!known || known->m_incarnation != binding->m_incarnation)
        answer("unknown", 0);
    else
        ask(known->m_linkAddress, binding->m_incarnation);
}

void KeyLookUp::ask(const SocketAddress &link, const Incarnation &incarnation)
{
    DispatchFrame frame;
    frame.m_attempt = {m_parts.m_issuer, ++m_parts.m_lastSequence};
    frame.m_boundTo = incarnation;
    frame.m_facts.m_workspace = WorkspaceName(m_workspace);
    frame.m_facts.m_idempotencyKey = m_key;
    frame.m_facts.m_repeatable = false;
    frame.m_facts.m_deadline = Clock::now() + lookUpLimit;
    frame.m_onlyIfKnown = true;
    const AttemptId attempt = frame.m_attempt;
    m_parts.m_links.dispatch(
        link, std::move(frame),
        {[self = shared_from_this(), link, attempt](const Frame &received) {
             self->onFrame(link, attempt, received);
         },
         [self = shared_from_this()](LinkLoss) { self->answer("unknown", 0); }});
}

void KeyLookUp::onFrame(const SocketAddress &link, const AttemptId &attempt, const Frame &frame)
{
    if (const auto *head = std::get_if<HeadFrame>(&frame))
        head->m_status == processingStatus ? answer("running", 0) : answer("ran", head->m_status);
    else if (const auto *failure = std::get_if<FailureFrame>(&frame))
        answer(toString(failure->m_runState), 0);
    else
        return;
    m_parts.m_links.forget(link, attempt);
}

void KeyLookUp::answer(const char *state, int status)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_answered)
            return;
        m_answered = true;
    }
    nlohmann::json body{{"key", m_key}, {"state", state}};
    if (status != 0)
        body["status"] = status;
    const auto replacing = nlohmann::json::error_handler_t::replace;
    m_responder->respond(
        {okStatus, {{"Content-Type", "application/json"}}, body.dump(-1, ' ', false, replacing)});
}

} // namespace burdockhead
