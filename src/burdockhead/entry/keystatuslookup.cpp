#include <burdockhead/entry/agentlinks.h>
#include <burdockhead/entry/errorresponse.h>
#include <burdockhead/entry/keybinder.h>
#include <burdockhead/entry/keystatuslookup.h>
#include <burdockhead/transport/workerpool.h>

#include <nlohmann/json.hpp>

namespace burdockhead {

namespace {

constexpr Seconds lookupTimeout{5};
constexpr int okStatus = 200;

} // namespace

KeyStatusLookup::KeyStatusLookup(RequestFlowDependencies &dependencies, std::string workspace,
                                 std::string key, std::shared_ptr<HttpResponder> responder)
    : m_dependencies(dependencies)
    , m_workspace(std::move(workspace))
    , m_key(std::move(key))
    , m_responder(std::move(responder))
{}

void KeyStatusLookup::start()
{
    m_dependencies.m_keyBinder.find(
        m_workspace, m_key, Clock::now() + lookupTimeout,
        [self = shared_from_this()](const std::optional<Binding> &binding, const Failure &failure) {
            self->onBinding(binding, failure);
        });
    m_dependencies.m_pool.runAt(Clock::now() + lookupTimeout,
                                [self = shared_from_this()] { self->respond("unknown", 0); });
}

void KeyStatusLookup::onBinding(const std::optional<Binding> &binding, const Failure &failure)
{
    if (!binding) {
        const bool isUnbound = failure.m_kind == ErrorKind::NoEndpoint;
        respond(isUnbound ? "not_run" : "unknown", 0);
        return;
    }
    const auto announcement = m_dependencies.m_directory.lock()->find(binding->m_endpoint);
    if (!announcement || announcement->m_incarnation != binding->m_incarnation)
        respond("unknown", 0);
    else
        queryAgent(announcement->m_linkAddress, binding->m_incarnation);
}

void KeyStatusLookup::queryAgent(const SocketAddress &agentAddress, const Incarnation &incarnation)
{
    DispatchFrame frame;
    frame.m_attempt = {m_dependencies.m_issuer, ++m_dependencies.m_lastSequence};
    frame.m_boundTo = incarnation;
    frame.m_facts.m_workspace = WorkspaceName(m_workspace);
    frame.m_facts.m_idempotencyKey = m_key;
    frame.m_facts.m_repeatable = false;
    frame.m_facts.m_deadline = Clock::now() + lookupTimeout;
    frame.m_onlyIfKnown = true;
    const AttemptId attempt = frame.m_attempt;
    m_dependencies.m_links.dispatch(
        agentAddress, std::move(frame),
        {[self = shared_from_this(), agentAddress, attempt](const Frame &received) {
             self->onFrame(agentAddress, attempt, received);
         },
         [self = shared_from_this()](LinkLoss) { self->respond("unknown", 0); }});
}

void KeyStatusLookup::onFrame(const SocketAddress &agentAddress, const AttemptId &attempt,
                              const Frame &frame)
{
    if (const auto *head = std::get_if<HeadFrame>(&frame))
        head->m_status == processingStatus ? respond("running", 0) : respond("ran", head->m_status);
    else if (const auto *failure = std::get_if<FailureFrame>(&frame))
        respond(toString(failure->m_runState), 0);
    else
        return;
    m_dependencies.m_links.unsubscribe(agentAddress, attempt);
}

void KeyStatusLookup::respond(const char *state, int status)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_hasResponded)
            return;
        m_hasResponded = true;
    }
    nlohmann::json body{{"key", m_key}, {"state", state}};
    if (status != 0)
        body["status"] = status;
    const auto replaceInvalidUtf8 = nlohmann::json::error_handler_t::replace;
    m_responder->respond({okStatus,
                          {{"Content-Type", "application/json"}},
                          body.dump(-1, ' ', false, replaceInvalidUtf8)});
}

} // namespace burdockhead
