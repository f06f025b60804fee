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
#include <burdockhead/routing/requestfacts.h>

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace burdockhead {

// Decides what runs, waits and is refused at one endpoint. Requests are known by their id,
// which must be unique among those present. Not thread-safe; one mutex around all calls.
class AdmissionController
{
public:
    // A controller with fair shares. The seed spreads the times to come back.
    AdmissionController(const AdmissionLimits &limits, std::uint64_t seed);

    // A controller over another queue.
    AdmissionController(const AdmissionLimits &limits, std::uint64_t seed,
                        std::unique_ptr<RequestQueue> queue);

    // Takes a changed configuration over.
    std::vector<AdmissionAction> setLimits(const AdmissionLimits &limits, TimePoint now);
    void setShares(const std::vector<Workspace> &workspaces);

    // A request arrives.
    AdmissionDecision offer(const RequestFacts &facts, TimePoint now);

    // The endpoint is known to have ended the request.
    std::vector<AdmissionAction> onFinished(const RequestId &id, RunOutcome outcome, TimePoint now);

    // The caller has gone: a queued request leaves the queue. A running one goes on to count
    // until finished() tells that the endpoint has ended it.
    std::vector<AdmissionAction> onCancelled(const RequestId &id, TimePoint now);

    // The head of a running request's response came.
    std::vector<AdmissionAction> onResponseHead(const RequestId &id, const EndpointHealth &health,
                                                TimePoint now);

    // A probe of a Probe action, or one sent without being asked for (number 0), was answered.
    std::vector<AdmissionAction> onProbeResponse(std::uint64_t probeNumber,
                                                 const EndpointHealth &health, TimePoint now);

    // A sign that the endpoint may have turned cold. Repeatable requests beyond the cold limit
    // are cancelled, the latest started first, unless the sign is only a failed probe.
    std::vector<AdmissionAction> onColdStartSignal(ColdStartSignal signal, TimePoint now);

    // Refuses what waited too long; due at nextTick().
    std::vector<AdmissionAction> tick(TimePoint now);

    // Refuses all new and queued requests as not run from now on; running ones go on.
    std::vector<AdmissionAction> startDraining(TimePoint now);

    // Takes new requests again.
    void stopDraining() { m_isDraining = false; }

    // True when leaving and nothing runs any more.
    bool isDrained() const { return m_isDraining && m_running.size() == 0; }

    LoadReport loadReport() const;

    // When tick() is next needed; none while nothing can fall due.
    std::optional<TimePoint> nextTick() const;

private:
    using LatestStarts = std::multimap<TimePoint, RequestId>;

    std::optional<ErrorKind> refusalFor(const QueuedRequest &request, TimePoint deadline,
                                        TimePoint now) const;
    bool untrackQueued(const RequestId &id);
    bool makeRoomFor(const QueuedRequest &request, TimePoint now,
                     std::vector<AdmissionAction> &actions);
    AdmissionDecision refusedDecision(ErrorKind kind, TimePoint now);
    AdmissionAction refuseAction(const RequestId &id, ErrorKind kind, TimePoint now);
    void startQueued(TimePoint now, std::vector<AdmissionAction> &actions);
    void requestProbe(TimePoint now, std::vector<AdmissionAction> &actions);
    void refuseExpired(TimePoint now, std::vector<AdmissionAction> &actions);
    void cancelOverLimit(std::vector<AdmissionAction> &actions);
    Duration estimatedWait(std::size_t ahead) const;
    TimePoint nextRetryAfter(TimePoint now);

    AdmissionLimits m_limits;
    std::unique_ptr<RequestQueue> m_queue;
    LatestStarts m_latestStarts; // Of the queued requests.
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
