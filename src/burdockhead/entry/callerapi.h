#pragma once

#include <burdockhead/base/guarded.h>
#include <burdockhead/base/random.h>
#include <burdockhead/entry/flowregistry.h>
#include <burdockhead/entry/requestflowdependencies.h>
#include <burdockhead/http/httprequest.h>
#include <burdockhead/http/httpresponder.h>
#include <burdockhead/settings/processsettings.h>

#include <atomic>
#include <memory>

namespace burdockhead {

class MembershipService;

// Serves the callers' port of an entry: entry addresses, model and service requests, tickets
// and the status of idempotency keys.
class CallerApi
{
public:
    CallerApi(const ProcessLimits &limits, RequestFlowDependencies &dependencies,
              FlowRegistry &flows, MembershipService &membership, std::uint64_t seed);

    // Handles one request; the response may be sent later and from another thread.
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

    // Returns why new requests are refused at present, or none when they are accepted.
    std::optional<ErrorKind> currentRefusal() const;

    // Returns when the last response that lists this entry's address expires.
    TimePoint addressesValidUntil() const;

    // Stops extending addressesValidUntil() when addresses are listed.
    void startLeaving() { m_isLeaving = true; }

    // Refuses all further requests.
    void refuseNew() { m_refusesNew = true; }

private:
    // Responds with the usable entries and how long the list is valid.
    void respondAddresses(HttpResponder &responder);
    // Starts the flow of a model or service request, unless it is refused.
    void startFlow(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    // Responds with a ticket bound to the endpoint that the router selects.
    void issueTicket(const HttpRequest &request, HttpResponder &responder);
    // Starts the lookup of the status of the key in the path.
    void lookUpKeyStatus(const HttpRequest &request,
                         const std::shared_ptr<HttpResponder> &responder);
    // Responds with an error for a request that did not run.
    static void refuse(HttpResponder &responder, ErrorKind kind, const std::string &reason);

    const ProcessLimits m_limits;
    RequestFlowDependencies &m_dependencies;
    FlowRegistry &m_flows;
    MembershipService &m_membership;
    Guarded<Random> m_random;
    std::atomic<std::uint64_t> m_lastTicket = 0;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<bool> m_refusesNew = false;
    std::atomic<TimePoint> m_addressesValidUntil{TimePoint()};
};

} // namespace burdockhead
