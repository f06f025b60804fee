#include <burdockhead/routing/choicecontext.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr double unknownServiceMicroseconds = 100000;
constexpr double slowFactor = 1.5;
constexpr double highestPriority = 9;
constexpr double lowestPriorityQueueShare = 0.5;

// Low priorities may fill a part of a queue only, so that high ones still find room.
double queueShare(std::uint32_t priority)
{
    const double height = std::min(highestPriority, static_cast<double>(priority));
    return lowestPriorityQueueShare + (1 - lowestPriorityQueueShare) * height / highestPriority;
}

} // namespace

ChoiceContext::ChoiceContext(const ReplicaTable &table, const RouterOptions &options,
                             const RequestFacts &facts, const std::vector<GroupIndex> &groups,
                             const std::vector<EndpointName> &alreadyTried, TimePoint now)
    : m_table(table)
    , m_options(options)
    , m_facts(facts)
    , m_groups(groups)
    , m_now(now)
{
    for (const EndpointName &name : alreadyTried) {
        if (const auto index = table.find(name))
            m_tried.push_back(*index);
    }
}

GateVerdict ChoiceContext::verdict(ReplicaIndex index) const
{
    const Replica &replica = m_table.replica(index);
    if (!replica.mayReceive())
        return ineligibility(replica);
    if (wasTried(index))
        return GateVerdict::NotEligible;
    return m_options.m_gates ? gateVerdict(replica) : GateVerdict::Permitted;
}

double ChoiceContext::score(ReplicaIndex index) const
{
    const Replica &replica = m_table.replica(index);
    const ChooserOptions &choice = m_options.m_choice;
    const double service = serviceMicroseconds(replica);
    const double limit = replica.limit();
    double requests = 1 + outstanding(replica) / limit - prefixSaving(index);
    // A breaker that waits for its probe would else never get one while others have room.
    if (replica.m_breaker.state(m_now) != BreakerState::HalfOpen)
        requests += replica.m_breaker.errorShare(m_now) * choice.m_errorCost;
    if (replica.m_announcement->m_state == ReplicaState::Suspect)
        requests += choice.m_suspectCost;
    if (!m_table.hasAdapter(index, m_facts.m_adapter))
        requests += choice.m_adapterCost;
    return requests * service + expectedWait(index)
           + m_table.dataCentreOf(replica).m_distanceMicroseconds;
}

double ChoiceContext::expectedWait(ReplicaIndex index) const
{
    const Replica &replica = m_table.replica(index);
    const double limit = replica.limit();
    const double ahead = std::max(0.0, outstanding(replica) + 1 - limit);
    return ahead / limit * serviceMicroseconds(replica);
}

double ChoiceContext::expectedCompletion(ReplicaIndex index) const
{
    const Replica &replica = m_table.replica(index);
    const double known = m_table.groupOf(replica).m_meanServiceMicroseconds;
    return known > 0 ? expectedWait(index) + serviceMicroseconds(replica) : 0;
}

double ChoiceContext::outstanding(const Replica &replica) const
{
    const double mean = m_table.groupOf(replica).m_meanOutstanding;
    return replica.m_load.outstanding(mean, m_options.m_choice.m_reportHalfLife, m_now);
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

GateVerdict ChoiceContext::ineligibility(const Replica &replica) const
{
    if (replica.m_placement && m_table.dataCentreOf(replica).m_takenOut)
        return GateVerdict::DataCentreOut;
    const bool leaving = replica.m_left || replica.m_load.report().m_isLeaving
                         || (replica.m_placement && replica.m_placement->m_leaving);
    return leaving ? GateVerdict::Leaving : GateVerdict::NotEligible;
}

GateVerdict ChoiceContext::gateVerdict(const Replica &replica) const
{
    const DataCentreRecord &dataCentre = m_table.dataCentreOf(replica);
    if (!replica.m_breaker.allows(m_now) || !dataCentre.m_breaker.allows(m_now))
        return GateVerdict::Failing;
    const bool beyondShare =
        !dataCentre.m_ramp.permits(dataCentre.m_ownInFlight)
        || (replica.isCold() && replica.m_load.ownInFlight() >= m_table.coldShare(replica));
    if (beyondShare && !m_permitCold)
        return GateVerdict::Cold;
    return isFull(replica) ? GateVerdict::Full : GateVerdict::Permitted;
}

// A report that says "full" holds for a short time only; without new work no new report
// might ever come.
bool ChoiceContext::isFull(const Replica &replica) const
{
    const double queue = replica.m_placement->m_queueLimit * queueShare(m_facts.m_priority);
    const double room = replica.limit() + queue;
    if (replica.m_load.ownInFlight() >= room)
        return true;
    const auto reportedAt = replica.m_load.reportedAt();
    if (!reportedAt || m_now - *reportedAt > m_options.m_choice.m_fullLifetime)
        return false;
    return outstanding(replica) >= room;
}

// Replicas differ by chance in what they happened to run; only one that is clearly slower
// than its like counts as slow.
double ChoiceContext::serviceMicroseconds(const Replica &replica) const
{
    const double mean = m_table.groupOf(replica).m_meanServiceMicroseconds;
    if (mean <= 0)
        return unknownServiceMicroseconds;
    const double own = replica.m_load.serviceMicroseconds();
    return own > mean * slowFactor ? own : mean;
}

// In shares of a request's time. In a crowded group a miss also holds up all that wait behind
// it, so that a hit counts for more. The prefix's home counts for half a hit: the entries meet
// there without talking to each other.
double ChoiceContext::prefixSaving(ReplicaIndex index) const
{
    if (m_facts.m_prefixHash == 0)
        return 0;
    const Replica &replica = m_table.replica(index);
    const double mean = m_table.groupOf(replica).m_meanOutstanding;
    const double crowding = std::max(1.0, mean / replica.limit());
    const double saving = m_options.m_choice.m_prefixSaving * crowding;
    if (replica.m_prefixes.contains(m_facts.m_prefixHash))
        return saving;
    const HomeRing &ring = m_table.groupOf(replica).m_ring;
    return ring.home(m_facts.m_prefixHash, 0) == index ? saving / 2 : 0;
}

} // namespace burdockhead
