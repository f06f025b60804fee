#pragma once

#include <burdockhead/admission/admissiondecision.h>
#include <burdockhead/admission/admissionlimits.h>
#include <burdockhead/admission/coldstartlimiter.h>
#include <burdockhead/admission/comebackschedule.h>
#include <burdockhead/admission/loadreport.h>
#include <burdockhead/admission/requestqueue.h>
#include <burdockhead/admission/runend.h>
#include <burdockhead/admission/runningrequests.h>
#include <burdockhead/admission/servicetimes.h>
#include <burdockhead/admission/warmthwindow.h>
#include <burdockhead/routing/requestattributes.h>

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
    AdmissionDecision offer(const RequestAttributes &facts, TimePoint now);

    // The endpoint is known to have ended the request.
    std::vector<AdmissionAction> finished(const RequestId &id, RunEnd end, TimePoint now);

    // The caller has gone: a queued request leaves the queue. A running one goes on to count
    // until finished() tells that the endpoint has ended it.
    std::vector<AdmissionAction> cancelled(const RequestId &id, TimePoint now);

    // The head of a running request's response came.
    std::vector<AdmissionAction> responseSeen(const RequestId &id, const EndpointHealth &health,
                                              TimePoint now);

    // A probe of a Probe action, or one sent without being asked for (number 0), was answered.
    std::vector<AdmissionAction> probeAnswered(std::uint64_t probe, const EndpointHealth &health,
                                               TimePoint now);

    // A sign that the endpoint may have turned cold. Repeatable requests beyond the cold limit
    // are cancelled, the latest started first, unless the sign is only a failed probe.
    std::vector<AdmissionAction> coldSignSeen(ColdSign sign, TimePoint now);

    // Refuses what waited too long; due at nextTick().
    std::vector<AdmissionAction> tick(TimePoint now);

    // Refuses all new and queued requests as not run from now on; running ones go on.
    std::vector<AdmissionAction> startLeaving(TimePoint now);

    // Takes new requests again.
    void stopLeaving() { m_leaving = false; }

    // True when leaving and nothing runs any more.
    bool drained() const { return m_leaving && m_running.size() == 0; }

    LoadReport report() const;

    // When tick() is next needed; none while nothing can fall due.
    std::optional<TimePoint> nextTick() const;

private:
    using Deadlines = std::multimap<TimePoint, RequestId>;

    std::optional<ErrorKind> refusalFor(const QueuedRequest &request, TimePoint deadline,
                                        TimePoint now) const;
    bool forgetQueued(const RequestId &id);
    bool makeRoomFor(const QueuedRequest &request, TimePoint now,
                     std::vector<AdmissionAction> &actions);
    AdmissionDecision refused(ErrorKind kind, TimePoint now);
    AdmissionAction refuse(const RequestId &id, ErrorKind kind, TimePoint now);
    void pump(TimePoint now, std::vector<AdmissionAction> &actions);
    void askForProbe(TimePoint now, std::vector<AdmissionAction> &actions);
    void expire(TimePoint now, std::vector<AdmissionAction> &actions);
    void cancelBeyondLimit(std::vector<AdmissionAction> &actions);
    Duration waitBehind(std::size_t ahead) const;
    TimePoint comeBack(TimePoint now);

    AdmissionLimits m_limits;
    std::unique_ptr<RequestQueue> m_queue;
    Deadlines m_latestStarts; // Of the queued requests.
    std::unordered_map<RequestId, Deadlines::iterator> m_queued;
    RunningRequests m_running;
    ColdStartLimiter m_coldStart;
    WarmthWindow m_window;
    ServiceTimes m_serviceTimes;
    ComeBackSchedule m_comeBack;
    TimePoint m_probeDeadline;
    bool m_leaving = false;
};

} // namespace burdockhead
