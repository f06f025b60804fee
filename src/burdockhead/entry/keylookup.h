#pragma once

#include <burdockhead/entry/flowparts.h>
#include <burdockhead/http/httpresponder.h>
#include <burdockhead/idempotency/claim.h>
#include <burdockhead/transport/frame.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace burdockhead {

// Answers what has become of the request with an idempotency key: "not_run", "running",
// "ran" with the answer's status, or "unknown". Never starts a run.
class KeyLookUp : public std::enable_shared_from_this<KeyLookUp>
{
public:
    KeyLookUp(FlowParts &parts, std::string workspace, std::string key,
              std::shared_ptr<HttpResponder> responder);

    void start();

private:
    void onBinding(const std::optional<Binding> &binding, const Failure &failure);
    void ask(const SocketAddress &link, const Incarnation &incarnation);
    void onFrame(const SocketAddress &link, const AttemptId &attempt, const Frame &frame);
    void answer(const char *state, int status);

    FlowParts &m_parts;
    const std::string m_workspace;
    const std::string m_key;
    std::shared_ptr<HttpResponder> m_responder;
    std::mutex m_mutex;
    bool m_answered = false;
};

} // namespace burdockhead
