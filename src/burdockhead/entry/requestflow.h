#pragma once

#include <burdockhead/entry/answerwriter.h>
#include <burdockhead/entry/callerrequest.h>
#include <burdockhead/entry/flowparts.h>
#include <burdockhead/idempotency/claim.h>
#include <burdockhead/transport/frame.h>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace burdockhead {

enum class LinkLoss;

// One caller's request at an entry, from its arrival to its final answer: the replicas that
// are tried, hedges, resumption and, for a request that may not be repeated, the binding of
// its key. Safe from any thread. The flow's lock is taken before any lock of its parts.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    // The end is reported once, after the final answer was written.
    RequestFlow(FlowParts &parts, CallerRequest request, std::shared_ptr<HttpResponder> responder,
                std::function<void(const RequestId &)> onEnd);

    // Takes up the request. To be called once.
    void start();

    const RequestAttributes &facts() const { return m_request.m_facts; }

private:
    // One attempt that has not ended.
    struct Attempt
    {
        AttemptId m_id;
        RouteTarget m_target;
        TimePoint m_lastHeard;
        bool m_isHedge = false;
    };

    using Lock = std::unique_lock<std::mutex>;

    void scheduleTick();
    void tick();
    bool giveUpWhenOver(TimePoint now);
    void checkStalled(TimePoint now);
    void hedgeWhenSlow(TimePoint now);

    void routeNext();
    void dispatchTo(const RouteTarget &target, bool isHedge);
    void onFrame(const AttemptId &id, const Frame &frame);
    void onLoss(const AttemptId &id, LinkLoss loss);
    void onHead(Attempt &attempt, const HeadFrame &head);
    void onData(Attempt &attempt, const DataFrame &data);
    void onAnswerEnd(Attempt &attempt, const EndFrame &end);
    void onFailure(Attempt &attempt, const FailureFrame &failure);
    bool makeWinner(Attempt &attempt);
    void attemptFailed(const AttemptId &id, AttemptOutcome outcome, const CallerError &error,
                       const std::optional<LoadReport> &load);
    void retryOrFail(const CallerError &error);

    void startKeyed();
    void proposeBinding();
    void onBound(const std::optional<Binding> &binding, const Failure &failure);
    void deliverToBinding();
    void redeliverSoon();
    void keyedAttemptFailed(const CallerError &error);

    void endAttempt(const Attempt &attempt, AttemptOutcome outcome,
                    const std::optional<LoadReport> &load, const std::string &reason);
    void cancelAttempts(const AttemptId *except);
    void succeed();
    void fail(CallerError error);
    void end();
    Attempt *find(const AttemptId &id);
    RunState runStateNow() const;
    void later(TimePoint when, void (RequestFlow::*step)());

    FlowParts &m_parts;
    const CallerRequest m_request;
    std::function<void(const RequestId &)> m_onEnd;
    const TimePoint m_startedAt;

    std::mutex m_mutex;
    AnswerWriter m_writer;
    std::vector<Attempt> m_attempts;
    std::vector<EndpointName> m_tried;
    std::optional<AttemptId> m_winner; // The attempt whose answer is being written.
    std::optional<Binding> m_binding;
    std::optional<TimePoint> m_hedgeAt;
    std::uint32_t m_attemptCount = 0;
    bool m_mayHaveRun = false; // Some attempt ended without word on whether it ran.
    bool m_ended = false;
};

} // namespace burdockhead
