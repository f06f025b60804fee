#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/gateway/calldialect.h>
#include <burdockhead/gateway/endpointtable.h>
#include <burdockhead/gateway/eventsplitter.h>
#include <burdockhead/gateway/route.h>
#include <burdockhead/gateway/waitingline.h>
#include <burdockhead/net/httpclientpool.h>
#include <burdockhead/net/httpexchange.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

class CallRouter;

// One client's request on its way: route, wait, send, forward the answer or try again, and
// exactly one end. A request that may not be repeated is sent to one endpoint; it is sent
// again only if no byte of it left this process.
class CallFlow : public std::enable_shared_from_this<CallFlow>, private HttpCallObserver
{
public:
    CallFlow(CallRouter &router, std::shared_ptr<HttpExchange> exchange, WaiterId id);
    ~CallFlow();
    CallFlow(const CallFlow &) = delete;
    CallFlow &operator=(const CallFlow &) = delete;

    void start();

    // Sends the request, as its turn has come; false when no endpoint takes it now.
    bool dispatch();

private:
    void callHead(const HttpHead &head) override;
    void callBody(std::string_view bytes) override;
    void callEnded(CallEnd end) override;

    bool route();
    void enter();
    void waitInLine();
    void clientGone();
    void giveUp();
    void setTimer(TimePoint deadline);
    TimePoint startBy() const;
    void releaseEndpoint(bool isServed);

    void answerComplete();
    void streamComplete();
    void notRun();
    void attemptFailed(const char *reason);
    bool tryAgain(const char *reason);

    void forwardWhole();
    void noteEventTimes();
    void forwardEvents(std::string_view bytes);
    HttpHeaders clientHeaders(const HttpHead &answer) const;

    void refuse(ErrorKind kind, Milliseconds comeBackAfter);
    void fail(ErrorKind kind, const char *reason);
    void answerError(ErrorKind kind, HttpHeaders headers);
    void finish(const char *outcome, int status, const char *reason);
    Milliseconds comeBackTime() const;
    Milliseconds elapsed() const;

    CallRouter &m_router;
    const std::shared_ptr<HttpExchange> m_exchange;
    const TimePoint m_arrivedAt;
    Waiter m_waiter;
    CallFacts m_facts;
    Route m_route;
    GroupName m_service;
    WorkspaceName m_workspace;
    std::uint64_t m_configurationVersion = 0;
    TimePoint m_giveUpAt;
    Milliseconds m_age{0}; // For how long the client had been trying when the request came.
    TimerId m_timer = 0;

    std::unique_ptr<HttpCall> m_call;
    KnownEndpointPointer m_endpoint; // Set while the request is at it.
    EndpointName m_lastEndpoint;
    TimePoint m_sentAt;
    TimePoint m_lastEventAt; // When events last came; zero before the first.
    std::vector<EndpointName> m_tried;
    unsigned m_attempts = 0; // Requests that may have reached an endpoint.
    unsigned m_failedConnects = 0;
    bool m_mayHaveRun = false;
    bool m_isWaiting = false;
    bool m_isOver = false;

    std::optional<HttpHead> m_answerHead;
    AnswerFacts m_answerFacts;
    std::string m_answerBody;
    bool m_isStreaming = false;           // The present answer is a stream of events.
    std::optional<HttpHead> m_streamHead; // Of the first answer to the stream.
    std::string m_streamWeights;
    EventSplitter m_events{std::nullopt};
};

} // namespace burdockhead
