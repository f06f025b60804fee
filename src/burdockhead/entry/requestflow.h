#pragma once

#include <burdockhead/entry/callerrequest.h>
#include <burdockhead/entry/requestflowdependencies.h>
#include <burdockhead/entry/responsewriter.h>
#include <burdockhead/idempotency/claim.h>
#include <burdockhead/transport/frame.h>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace burdockhead {

enum class LinkLoss;

// Processes one caller's request from arrival to the final response: attempts at replicas,
// hedging, resumption and, for a request that must not be repeated, the binding of its key.
// Thread-safe. The flow's lock is acquired before any lock of its dependencies.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    // Calls onEnd once, after the final response has been written.
    RequestFlow(RequestFlowDependencies &dependencies, CallerRequest request,
                std::shared_ptr<HttpResponder> responder,
                std::function<void(const RequestId &)> onEnd);

    // Starts processing the request. Must be called exactly once.
    void start();

    // Fails the request because the entry ends.
    void endForStop();

    const RequestAttributes &attributes() const { return m_request.m_attributes; }

private:
    // An attempt in progress.
    struct Attempt
    {
        AttemptId m_id;
        RouteTarget m_target;
        TimePoint m_lastFrameTime;
        bool m_isHedge = false;
    };

    using Lock = std::unique_lock<std::mutex>;

    // Schedules the next periodic check, at the deadline at the latest.
    void scheduleTick();
    void onTick();
    // Fails when the caller has disconnected or the deadline has passed; returns whether the
    // flow has ended.
    bool failIfDisconnectedOrExpired(TimePoint now);
    // Fails the winning attempt when its response has stalled.
    void failStalledAttempt(TimePoint now);
    // Dispatches a hedge when the only attempt is slow and the router allows one.
    void hedgeIfDue(TimePoint now);

    // Dispatches to an endpoint not tried before, or fails with the router's refusal.
    void routeNext();
    void dispatchTo(const RouteTarget &target, bool isHedge);
    void onFrame(const AttemptId &id, const Frame &frame);
    void onLoss(const AttemptId &id, LinkLoss loss);
    void onHead(Attempt &attempt, const HeadFrame &head);
    void onData(Attempt &attempt, const DataFrame &data);
    void onResponseEnd(Attempt &attempt, const EndFrame &end);
    void onFailure(Attempt &attempt, const FailureFrame &failure);
    // Makes the first attempt that responds the winner and cancels the others. Returns whether
    // the attempt is the winner.
    bool selectWinner(Attempt &attempt);

    // Ends a failed attempt, and retries unless another attempt is in progress.
    void onAttemptFailed(const AttemptId &id, AttemptOutcome outcome, const CallerError &error,
                         const std::optional<LoadReport> &load);
    // Retries when the response can be resumed, the router agrees and time is left.
    void retryOrFail(const CallerError &error);

    // Starts a request with an idempotency key.
    void startKeyed();
    // Proposes a binding to a routed replica; without one, looks up an existing binding.
    void proposeBinding();
    void onBound(const std::optional<Binding> &binding, const Failure &failure);
    // Dispatches to the bound incarnation, waits for its announcement, or fails.
    void dispatchToBoundAgent();
    // Retries dispatchToBoundAgent() after an interval, unless the deadline comes first.
    void scheduleRedispatch();
    // Dispatches to the same incarnation again after a lost link; fails after other errors.
    void onKeyedAttemptFailed(const CallerError &error);

    // Reports the end of an attempt to the router and the observer.
    void endAttempt(const Attempt &attempt, AttemptOutcome outcome,
                    const std::optional<LoadReport> &load, const std::string &reason);
    // Cancels all attempts but the given one.
    void cancelAttempts(const AttemptId *except);
    void succeed();
    void fail(CallerError error);
    void end();
    Attempt *find(const AttemptId &id);
    // Returns the run state to report if the request failed now.
    RunState currentRunState() const;
    // Schedules a step to run under the flow's lock, unless the flow has ended by then.
    void runLater(TimePoint when, void (RequestFlow::*step)());

    RequestFlowDependencies &m_dependencies;
    const CallerRequest m_request;
    std::function<void(const RequestId &)> m_onEnd;
    const TimePoint m_startedAt;

    std::mutex m_mutex;
    ResponseWriter m_writer;
    std::vector<Attempt> m_attempts;
    std::vector<EndpointName> m_triedEndpoints; // Endpoints of failed attempts.
    std::optional<AttemptId> m_winner;          // The attempt whose response is being written.
    std::optional<Binding> m_binding;
    std::optional<TimePoint> m_hedgeTime; // When to hedge, if no attempt has responded.
    std::uint32_t m_attemptCount = 0;
    bool m_mayHaveRun = false; // An earlier attempt ran, or ended with an unknown run state.
    bool m_hasEnded = false;
};

} // namespace burdockhead
