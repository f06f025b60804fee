#pragma once

#include <burdockhead/base/guarded.h>
#include <burdockhead/base/random.h>
#include <burdockhead/entry/flowparts.h>
#include <burdockhead/entry/flowregistry.h>
#include <burdockhead/http/httprequest.h>
#include <burdockhead/http/httpresponder.h>
#include <burdockhead/settings/processsettings.h>

#include <atomic>
#include <memory>

namespace burdockhead {

class MembershipService;

// Serves the callers' port of an entry: the addresses to use, model and service requests,
// tickets and the state of keys.
class CallerApi
{
public:
    CallerApi(const ProcessLimits &limits, FlowParts &parts, FlowRegistry &flows,
              MembershipService &membership, std::uint64_t seed);

    // Answers one request, now or later.
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

    // Why a new request is refused now; none when it is taken.
    std::optional<ErrorKind> refusalNow() const;

    // When the last answer that names this entry's address ceases to hold.
    TimePoint addressesHoldUntil() const;

    // Leaves this entry out of answers about addresses from now on.
    void startLeaving() { m_leaving = true; }

private:
    void answerAddresses(HttpResponder &responder);
    void takeRequest(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void mintTicket(const HttpRequest &request, HttpResponder &responder);
    void lookUpKey(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    static void refuse(HttpResponder &responder, ErrorKind kind, const std::string &reason);

    const ProcessLimits m_limits;
    FlowParts &m_parts;
    FlowRegistry &m_flows;
    MembershipService &m_membership;
    Guarded<Random> m_random;
    std::atomic<std::uint64_t> m_lastTicket = 0;
    std::atomic<bool> m_leaving = false;
    std::atomic<TimePoint> m_holdUntil{TimePoint()};
};

} // namespace burdockhead
