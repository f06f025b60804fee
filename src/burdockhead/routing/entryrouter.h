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

// Makes all routing decisions of one entry: replica choice, retries and hedges. Tracks the state of
// each replica. Not thread-safe.
class EntryRouter
{
public:
    EntryRouter(const RouterOptions &options, Random seed);
    ~EntryRouter();
    EntryRouter(EntryRouter &&) noexcept;
    EntryRouter &operator=(EntryRouter &&) noexcept;

    // Applies a configuration with a higher version than the current one. Returns false, without a
    // change, for any other.
    bool applyConfiguration(const ConfigurationPointer &configuration);

    // Applies a membership announcement of a replica. Returns false, without a change, if it is out
    // of date.
    bool applyAnnouncement(const ReplicaAnnouncement &announcement, TimePoint now);

    // Sets the number of entries that share the endpoints; it determines this entry's share of cold
    // ones.
    void setEntryCount(unsigned entries);

    // Chooses a replica that has not been tried, or refuses the request. A call with an empty
    // `alreadyTried` counts as a new request and adds to the retry budget.
    RouteDecision route(const RequestAttributes &request,
                        const std::vector<EndpointName> &alreadyTried, TimePoint now);

    // Records that an attempt was sent. Must be called right after route() has returned the target.
    void onDispatched(const EndpointName &endpoint, TimePoint now);

    // Records the end of an attempt, once per dispatched attempt. `report` is the load report of
    // the agent's reply, if it has one. An outcome of an earlier incarnation is ignored; 0 means
    // the current one.
    void onAttemptEnded(const EndpointName &endpoint, AttemptOutcome outcome,
                        const std::optional<LoadReport> &report, TimePoint now,
                        Incarnation incarnation = {});

    // Records a load report from a heartbeat or a probe.
    void recordLoad(const EndpointName &endpoint, const LoadReport &report, TimePoint now,
                    Incarnation incarnation = {});

    // Records the duration of a completed request; hedges are timed by it.
    void recordCompletion(const RequestAttributes &request, Duration elapsed);

    // Handles a cache event of an engine: a prefix was stored or evicted.
    void onCacheEvent(const EndpointName &endpoint, std::uint64_t prefixHash, bool stored,
                      TimePoint now);

    // Decides whether a failed request is retried. `attempts` counts those made so far. A retry
    // takes a token from the budget. Requests that aren't repeatable are retried only after
    // RunState::NotRun.
    RetryDecision decideRetry(const RequestAttributes &request, ErrorKind error, RunState runState,
                              unsigned attempts, TimePoint now);

    // Returns when a second attempt should be started beside a slow one; none if the request isn't
    // repeatable or the kind has too few samples.
    std::optional<TimePoint> hedgeTime(const RequestAttributes &request,
                                       TimePoint dispatchedAt) const;

    // Returns whether a hedge may be sent, to be called at the time from hedgeTime(); takes a token
    // from the budget if true. False while the replicas have no free slot.
    bool tryAcquireHedge(const RequestAttributes &request, TimePoint now);

    // Returns the state of every configured endpoint, sorted by name.
    std::vector<EndpointSnapshot> snapshot(TimePoint now) const;

    // Returns the ratio of the highest to the mean estimated load of the group's endpoints that may
    // receive work; 1 if all are equally loaded or idle.
    double loadSkew(const GroupName &group, TimePoint now) const;

    // Returns the version of the current configuration; 0 before the first.
    std::uint64_t configurationVersion() const;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
