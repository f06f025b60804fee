#pragma once

#include <burdockhead/entry/requestflowdependencies.h>
#include <burdockhead/http/httpresponder.h>
#include <burdockhead/idempotency/claim.h>
#include <burdockhead/transport/frame.h>

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace burdockhead {

// Reports the state of the request with an idempotency key: "not_run", "running", "ran" with
// the response's status, or "unknown". Never runs the request.
class KeyStatusLookup : public std::enable_shared_from_this<KeyStatusLookup>
{
public:
    KeyStatusLookup(RequestFlowDependencies &dependencies, std::string workspace, std::string key,
                    std::shared_ptr<HttpResponder> responder);

    // Looks up the key's binding; responds "unknown" after a timeout.
    void start();

private:
    void onBinding(const std::optional<Binding> &binding, const Failure &failure);
    // Asks the incarnation that the key is bound to.
    void queryAgent(const SocketAddress &agentAddress, const Incarnation &incarnation);
    void onFrame(const SocketAddress &agentAddress, const AttemptId &attempt, const Frame &frame);
    // Responds once; later calls do nothing. A status of 0 is omitted.
    void respond(const char *state, int status);

    RequestFlowDependencies &m_dependencies;
    const std::string m_workspace;
    const std::string m_key;
    std::shared_ptr<HttpResponder> m_responder;
    std::mutex m_mutex;
    bool m_hasResponded = false;
};

} // namespace burdockhead
