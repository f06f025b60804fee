#pragma once

#include <burdockhead/admission/admissiondecision.h>
#include <burdockhead/admission/admissionlimits.h>
#include <burdockhead/admission/coldstartlimiter.h>
#include <burdockhead/admission/loadreport.h>
#include <burdockhead/admission/requestqueue.h>
#include <burdockhead/admission/retryafterschedule.h>
#include <burdockhead/admission/runningrequests.h>
#include <burdockhead/admission/runoutcome.h>
#include <burdockhead/admission/servicetimeestimator.h>
#include <burdockhead/admission/unconfirmedwindow.h>
#include <burdockhead/routing/requestattributes.h>

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace burdockhead {

// Admission control for one endpoint: starts, queues or refuses each request. Request ids must be
// unique among the queued and running requests. Not thread-safe: callers serialise all calls with
// one mutex.
class AdmissionController
{
public:
    // Uses a fair share queue. The seed randomises the retry times.
    AdmissionController(const AdmissionLimits &limits, std::uint64_t seed);

    // Takes the queue to use instead of the fair share queue, such as a baseline for comparison.
    AdmissionController(const AdmissionLimits &limits, std::uint64_t seed,
                        std::unique_ptr<RequestQueue> queue);

    // Applies the limits of a changed configuration.
    std::vector<AdmissionAction> setLimits(const AdmissionLimits &limits, TimePoint now);
    // Applies the workspaces' shares of a changed configuration.
    void setShares(const std::vector<Workspace> &workspaces);

    // Starts, queues or refuses a new request.
    AdmissionDecision offer(const RequestAttributes &attributes, TimePoint now);

    // Handles the confirmed end of a request at the endpoint.
    std::vector<AdmissionAction> onFinished(const RequestId &id, RunOutcome outcome, TimePoint now);

    // Removes a queued request whose client has disconnected. A running one still counts against
    // the limit until onFinished() confirms that the endpoint has ended it.
    std::vector<AdmissionAction> onCancelled(const RequestId &id, TimePoint now);

    // Handles the response head of a running request.
    std::vector<AdmissionAction> onResponseHead(const RequestId &id, const EndpointHealth &health,
                                                TimePoint now);

    // Handles the response to a probe that a Probe action requested, or to a periodic one (number
    // 0).
    std::vector<AdmissionAction> onProbeResponse(std::uint64_t probeNumber,
                                                 const EndpointHealth &health, TimePoint now);

    // Handles a signal that the endpoint may be in cold start. Cancels repeatable requests beyond
    // the cold limit, the most recently started first, except after a failed probe.
    std::vector<AdmissionAction> onColdStartSignal(ColdStartSignal signal, TimePoint now);

    // Refuses queued requests that can no longer meet their deadline, and times out the
    // outstanding probe; due at nextTick().
    std::vector<AdmissionAction> tick(TimePoint now);

    // Refuses all new and queued requests with RunState::NotRun until stopDraining(); running
    // requests continue.
    std::vector<AdmissionAction> startDraining(TimePoint now);

    // Accepts new requests again.
    void stopDraining() { m_isDraining = false; }

    // Returns true when draining and no request runs.
    bool isDrained() const { return m_isDraining && m_running.size() == 0; }

    // Returns the current load for the entries.
    LoadReport loadReport() const;

    // Returns when tick() is next due; none if nothing has a deadline.
    std::optional<TimePoint> nextTick() const;

private:
    using LatestStarts = std::multimap<TimePoint, RequestId>;

    // Returns why a request is refused before it reaches the queue, if it is.
    std::optional<ErrorKind> refusalFor(const QueuedRequest &request, TimePoint deadline,
                                        TimePoint now) const;
    // Forgets the latest start of a queued request; false if it isn't queued.
    bool untrackQueued(const RequestId &id);
    // Evicts a queued request if the queue is full; false if none may be evicted.
    bool makeRoomFor(const QueuedRequest &request, TimePoint now,
                     std::vector<AdmissionAction> &actions);
    AdmissionDecision refusedDecision(ErrorKind kind, TimePoint now);
    AdmissionAction refuseAction(const RequestId &id, ErrorKind kind, TimePoint now);
    void startQueued(TimePoint now, std::vector<AdmissionAction> &actions);
    void requestProbe(TimePoint now, std::vector<AdmissionAction> &actions);
    void refuseExpired(TimePoint now, std::vector<AdmissionAction> &actions);
    void cancelOverLimit(std::vector<AdmissionAction> &actions);
    // Estimates the wait of a request with this many queued requests ahead.
    Duration estimatedWait(std::size_t requestsAhead) const;
    TimePoint nextRetryAfter(TimePoint now);

    AdmissionLimits m_limits;
    std::unique_ptr<RequestQueue> m_queue;
    LatestStarts m_latestStarts; // Of the queued requests, earliest first.
    std::unordered_map<RequestId, LatestStarts::iterator> m_latestStartOf;
    RunningRequests m_running;
    ColdStartLimiter m_coldStartLimiter;
    UnconfirmedWindow m_unconfirmedWindow;
    ServiceTimeEstimator m_serviceTimeEstimator;
    RetryAfterSchedule m_retrySchedule;
    TimePoint m_probeDeadline;
    bool m_isDraining = false;
};

} // namespace burdockhead
