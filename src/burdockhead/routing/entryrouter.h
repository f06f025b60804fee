#pragma once

#include <burdockhead/admission/loadreport.h>
#include <burdockhead/base/errorkind.h>
#include <burdockhead/base/random.h>
#include <burdockhead/base/runstate.h>
#include <burdockhead/configuration/versionedconfiguration.h>
#include <burdockhead/routing/attemptoutcome.h>
#include <burdockhead/routing/endpointsnapshot.h>
#include <burdockhead/routing/replicaannouncement.h>
#include <burdockhead/routing/requestattributes.h>
#include <burdockhead/routing/retrydecision.h>
#include <burdockhead/routing/routedecision.h>
#include <burdockhead/routing/routeroptions.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace burdockhead {

// All routing decisions of one entry: which replica a request goes to, whether and when it
// is tried again or hedged, and what is known of each replica. Not thread-safe.
class EntryRouter
{
public:
    EntryRouter(const RouterOptions &options, Random seed);
    ~EntryRouter();
    EntryRouter(EntryRouter &&) noexcept;
    EntryRouter &operator=(EntryRouter &&) noexcept;

    // Takes a configuration with a higher version than the present one; false and no change
    // for any other.
    bool applyConfiguration(const ConfigurationPointer &configuration);

    // Takes membership's word on a replica; false and no change when it is out of date.
    bool applyAnnouncement(const ReplicaAnnouncement &announcement, TimePoint now);

    // Tells how many entries share the endpoints; cold endpoints are shared out by it.
    void setEntryCount(unsigned entries);

    // Chooses a replica other than those already tried, or refuses. A call with an empty
    // `alreadyTried` counts as a new request and earns its share of the retry budget.
    RouteDecision route(const RequestAttributes &facts,
                        const std::vector<EndpointName> &alreadyTried, TimePoint now);

    // Notes that an attempt was sent. To be called right after route() gave the target.
    void onDispatched(const EndpointName &endpoint, TimePoint now);

    // Notes an attempt's end. Each dispatched attempt ends once. The report is the one on
    // the answer; pass none when the agent sent none. An outcome of an earlier incarnation
    // changes nothing; 0 stands for the present one.
    void onAttemptEnded(const EndpointName &endpoint, AttemptOutcome outcome,
                        const std::optional<LoadReport> &report, TimePoint now,
                        Incarnation incarnation = {});

    // Notes a load report that came without an answer, from a heartbeat or a probe.
    void recordLoad(const EndpointName &endpoint, const LoadReport &report, TimePoint now,
                    Incarnation incarnation = {});

    // Notes how long a completed request took; hedges are timed by it.
    void recordCompletion(const RequestAttributes &facts, Duration elapsed);

    // Notes a cache event of an engine: a prefix was stored or evicted.
    void noteCacheEvent(const EndpointName &endpoint, std::uint64_t prefixHash, bool stored,
                        TimePoint now);

    // Decides whether a failed request is tried again. `attempts` counts those made so far.
    // A decision to retry uses up budget. Requests that aren't repeatable are retried only
    // after RunState::NotRun.
    RetryDecision decideRetry(const RequestAttributes &facts, ErrorKind error, RunState runState,
                              unsigned attempts, TimePoint now);

    // When a second attempt should be started beside a slow one; none for requests that
    // aren't repeatable or while too little is known of the kind's times.
    std::optional<TimePoint> hedgeTime(const RequestAttributes &facts,
                                       TimePoint dispatchedAt) const;

    // Asks, at the time that hedgeAt gave, for leave to hedge; uses up budget when true. No
    // leave is given while the replicas have no slot free.
    bool tryTakeHedge(const RequestAttributes &facts, TimePoint now);

    // Every configured endpoint as this entry sees it, sorted by name.
    std::vector<EndpointSnapshot> snapshot(TimePoint now) const;

    // Highest over mean estimated load of the group's endpoints that may receive work; 1
    // when all are alike or idle.
    double loadSkew(const GroupName &group, TimePoint now) const;

    // The version of the configuration in force; 0 before the first.
    std::uint64_t configurationVersion() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
