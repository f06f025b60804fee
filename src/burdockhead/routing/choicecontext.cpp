#include <burdockhead/routing/choicecontext.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr double defaultServiceMicroseconds = 100000;
constexpr double outlierFactor = 1.5;
constexpr double highestPriority = 9;
constexpr double lowestPriorityQueueShare = 0.5;

// Returns the share of a queue that a priority may fill. Low priorities get only a part of it, so
// that high ones are still accepted.
double queueShare(std::uint32_t priority)
{
    const double level = std::min(highestPriority, static_cast<double>(priority));
    return lowestPriorityQueueShare + (1 - lowestPriorityQueueShare) * level / highestPriority;
}

} // namespace

ChoiceContext::ChoiceContext(const ReplicaTable &table, const RouterOptions &options,
                             const RequestAttributes &request,
                             const std::vector<GroupIndex> &groups,
                             const std::vector<EndpointName> &alreadyTried, TimePoint now)
    : m_table(table)
    , m_options(options)
    , m_request(request)
    , m_groups(groups)
    , m_now(now)
{
    for (const EndpointName &name : alreadyTried) {
        if (const auto index = table.find(name))
            m_tried.push_back(*index);
    }
}

FilterVerdict ChoiceContext::verdict(ReplicaIndex index) const
{
    const Replica &replica = m_table.replica(index);
    if (!replica.mayReceiveWork())
        return ineligibleVerdict(replica);
    if (wasTried(index))
        return FilterVerdict::NotEligible;
    return m_options.m_hasFilters ? filterVerdict(replica) : FilterVerdict::Permitted;
}

double ChoiceContext::score(ReplicaIndex index) const
{
    const Replica &replica = m_table.replica(index);
    const ChooserOptions &weights = m_options.m_chooserOptions;
    const double serviceTime = serviceMicroseconds(replica);
    const double limit = replica.limit();
    double requests = 1 + estimatedOutstanding(replica) / limit - prefixSaving(index);
    // The penalty would keep a half-open breaker from ever getting its probe while other replicas
    // have capacity.
    if (replica.m_breaker.state(m_now) != BreakerState::HalfOpen)
        requests += replica.m_breaker.errorRate(m_now) * weights.m_errorCost;
    if (replica.m_announcement->m_state == ReplicaState::Suspect)
        requests += weights.m_suspectCost;
    if (!m_table.hasAdapter(index, m_request.m_adapter))
        requests += weights.m_adapterLoadCost;
    return requests * serviceTime + expectedWaitMicroseconds(index)
           + m_table.dataCentreOf(replica).m_roundTripMicroseconds;
}

double ChoiceContext::expectedWaitMicroseconds(ReplicaIndex index) const
{
    const Replica &replica = m_table.replica(index);
    const double limit = replica.limit();
    const double queued = std::max(0.0, estimatedOutstanding(replica) + 1 - limit);
    return queued / limit * serviceMicroseconds(replica);
}

double ChoiceContext::expectedCompletionMicroseconds(ReplicaIndex index) const
{
    const Replica &replica = m_table.replica(index);
    const double average = m_table.groupOf(replica).m_averageServiceMicroseconds;
    return average > 0 ? expectedWaitMicroseconds(index) + serviceMicroseconds(replica) : 0;
}

double ChoiceContext::estimatedOutstanding(const Replica &replica) const
{
    const double average = m_table.groupOf(replica).m_averageOutstanding;
    return replica.m_load.estimatedOutstanding(average, m_options.m_chooserOptions.m_reportHalfLife,
                                               m_now);
}

bool ChoiceContext::isMember(ReplicaIndex index) const
{
    const auto &placement = m_table.replica(index).m_placement;
    return placement
           && std::find(m_groups.begin(), m_groups.end(), placement->m_group) != m_groups.end();
}

bool ChoiceContext::wasTried(ReplicaIndex index) const
{
    return std::find(m_tried.begin(), m_tried.end(), index) != m_tried.end();
}

FilterVerdict ChoiceContext::ineligibleVerdict(const Replica &replica) const
{
    if (replica.m_placement && m_table.dataCentreOf(replica).m_isTakenOut)
        return FilterVerdict::DataCentreOut;
    const bool isLeaving = replica.m_hasLeft || replica.m_load.report().m_isLeaving
                           || (replica.m_placement && replica.m_placement->m_leaving);
    return isLeaving ? FilterVerdict::Leaving : FilterVerdict::NotEligible;
}

FilterVerdict ChoiceContext::filterVerdict(const Replica &replica) const
{
    const DataCentreRecord &dataCentre = m_table.dataCentreOf(replica);
    if (!replica.m_breaker.allows(m_now) || !dataCentre.m_breaker.allows(m_now))
        return FilterVerdict::BreakerOpen;
    const bool exceedsShare =
        !dataCentre.m_ramp.permits(dataCentre.m_localInFlight)
        || (replica.isCold() && replica.m_load.localInFlight() >= m_table.coldShare(replica));
    if (exceedsShare && !m_isColdFallbackEnabled)
        return FilterVerdict::ColdShareExhausted;
    return isQueueFull(replica) ? FilterVerdict::QueueFull : FilterVerdict::Permitted;
}

// A report can mark a replica as full for a short time only, because without new work no further
// report might arrive.
bool ChoiceContext::isQueueFull(const Replica &replica) const
{
    const double queue = replica.m_placement->m_queueLimit * queueShare(m_request.m_priority);
    const double capacity = replica.limit() + queue;
    if (replica.m_load.localInFlight() >= capacity)
        return true;
    const auto reportedAt = replica.m_load.reportedAt();
    if (!reportedAt || m_now - *reportedAt > m_options.m_chooserOptions.m_fullReportLifetime)
        return false;
    return estimatedOutstanding(replica) >= capacity;
}

// Uses the group's average unless the replica is clearly slower, because service times also differ
// by the requests that happened to run.
double ChoiceContext::serviceMicroseconds(const Replica &replica) const
{
    const double average = m_table.groupOf(replica).m_averageServiceMicroseconds;
    if (average <= 0)
        return defaultServiceMicroseconds;
    const double measured = replica.m_load.serviceMicroseconds();
    return measured > average * outlierFactor ? measured : average;
}

// Returns the saving in service times. In a saturated group a miss also delays the requests queued
// behind it, so a hit counts for more. The prefix's first replica on the ring counts as half a hit,
// so that entries converge on it without communicating.
double ChoiceContext::prefixSaving(ReplicaIndex index) const
{
    if (m_request.m_prefixHash == 0)
        return 0;
    const Replica &replica = m_table.replica(index);
    const double average = m_table.groupOf(replica).m_averageOutstanding;
    const double crowding = std::max(1.0, average / replica.limit());
    const double saving = m_options.m_chooserOptions.m_prefixSaving * crowding;
    if (replica.m_prefixes.contains(m_request.m_prefixHash))
        return saving;
    const ConsistentHashRing &ring = m_table.groupOf(replica).m_ring;
    return ring.replicaAt(m_request.m_prefixHash, 0) == index ? saving / 2 : 0;
}

} // namespace burdockhead
