#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/gateway/callguard.h>
#include <burdockhead/gateway/callprotocol.h>
#include <burdockhead/gateway/callqueue.h>
#include <burdockhead/gateway/calltimes.h>
#include <burdockhead/gateway/endpointtable.h>
#include <burdockhead/gateway/eventsplitter.h>
#include <burdockhead/gateway/route.h>
#include <burdockhead/net/httpclientpool.h>
#include <burdockhead/net/httpexchange.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

class CallRouter;

// Handles one client's request: routes, queues and sends it, then forwards the response or retries.
// Every request ends exactly once. One that isn't repeatable is sent again only if it certainly has
// not run.
class ProxiedCall : public std::enable_shared_from_this<ProxiedCall>, private HttpCallObserver
{
public:
    ProxiedCall(CallRouter &router, std::shared_ptr<HttpExchange> exchange, CallId id);
    ~ProxiedCall();
    ProxiedCall(const ProxiedCall &) = delete;
    ProxiedCall &operator=(const ProxiedCall &) = delete;

    // Ends the request when its client leaves.
    void watchClient();

    void start();

    // Sends the request to an endpoint; false if none is eligible now.
    bool dispatch();

    // Returns whether the last dispatch had to keep the request apart from others of its kind.
    bool isIsolated() const { return m_isIsolated; }

    // Returns whether a part of the prompt is in quarantine, and ends the request for that reason.
    bool isQuarantined() const;
    void refuseQuarantined();

    // Ends the request because the process ends.
    void endForStop();

    // Returns the bytes of the response that are held until they can be forwarded.
    std::size_t bufferedBytes() const { return m_bufferedBytes; }

    // Gives up a response that takes the room of those to other requests.
    void giveUpResponse();

    // Resumes the response at another endpoint if its own has become so slow that it holds up the
    // others of its group, and if the route and the retry budget allow it.
    void moveFromSlowEndpoint();

private:
    void callHead(const HttpHead &head) override;
    void callStrayHead(const HttpHead &head) override;
    void onOwnResponseOverdue();
    void callBody(std::string_view bytes) override;
    void callEnded(CallEnd end) override;

    bool resolveRoute();
    void sendOrQueue();
    void enqueue();
    void onClientDisconnected();
    void onTimeout();
    void setTimer(TimePoint deadline);
    TimePoint latestUsefulStart() const;
    void releaseEndpoint(bool isSuccess);
    void endRetry(bool wasSent);
    EndpointRun endpointRun() const;
    void reportResponse();
    void reportRate();
    void reportWishes();
    void clearResponseBody();
    bool reserveBuffer(std::size_t bytes);

    void onResponseComplete();
    void onStreamComplete();
    void onNotSent();
    void onBroken(const char *reason);
    void onNotRun();
    void onAttemptFailed(const char *reason);
    bool tryRetry(const char *reason);

    void forwardResponse();
    void recordEventTimes();
    void forwardEvents(std::string_view bytes);
    HttpHeaders clientHeaders(const HttpHead &response) const;

    bool mayOutlastProcess(TimePoint now) const;
    bool mayRiskEndpoint(TimePoint now) const;
    void refuse(ErrorKind kind, Milliseconds retryDelay);
    void fail(ErrorKind kind, const char *reason);
    void sendError(ErrorKind kind, HttpHeaders headers);
    void finish(const char *outcome, int status, const char *reason);
    Milliseconds jitteredRetryDelay() const;
    Milliseconds elapsed() const;

    CallRouter &m_router;
    const std::shared_ptr<HttpExchange> m_exchange;
    CallTimes m_times;
    QueuedCall m_queuedCall;
    CallAttributes m_attributes;
    Route m_route;
    GroupName m_service;
    CallGuard m_guard;
    WorkspaceName m_workspace;
    std::uint64_t m_configurationVersion = 0;
    TimePoint m_deadline;
    Milliseconds m_earlierAttemptsTime{0}; // Spent by the client before this request arrived.
    TimerId m_timerId = 0;
    TimerId m_ownResponseTimerId = 0; // Set while a response to another request has come instead.

    std::unique_ptr<HttpCall> m_call;
    KnownEndpointPointer m_endpoint; // Set while the request is in flight.
    std::uint64_t m_pacerTicket = 0; // Of the endpoint's pacer; 0 for none.
    EndpointName m_lastEndpoint;
    std::vector<EndpointName> m_triedEndpoints;
    unsigned m_attempts = 0; // Attempts that reached an endpoint or may have.
    unsigned m_failedConnects = 0;
    bool m_mayHaveRun = false;
    bool m_isRepeat = false;   // The next dispatch may not be the first to reach an endpoint.
    bool m_holdsRetry = false; // A retry of the budget has begun and not ended.
    bool m_isIsolated = false; // In its last dispatch.
    bool m_isProbing = false;  // The connection to the endpoint broke, and it may be gone.
    bool m_isQueued = false;
    bool m_isFinished = false;

    std::optional<HttpHead> m_responseHead;
    ResponseAttributes m_responseAttributes;
    std::string m_responseBody;
    std::size_t m_bufferedBytes = 0; // Of the body, or of an event that isn't complete.
    bool m_isStreaming = false;      // The current response is an event stream.
    // Head of the latest response to a stream; unchanged once the response to the client starts.
    std::optional<HttpHead> m_streamHead;
    std::string m_streamWeightsVersion;
    EventSplitter m_events{std::nullopt};
};

} // namespace burdockhead
