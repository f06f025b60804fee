#include <burdockhead/routing/entryrouter.h>
#include <burdockhead/routing/refusalreason.h>
#include <burdockhead/routing/replicachooser.h>
#include <burdockhead/routing/replicatable.h>
#include <burdockhead/routing/retrypolicy.h>
#include <burdockhead/routing/tablesnapshot.h>

#include <algorithm>

namespace burdockhead {

class EntryRouter::Private
{
public:
    Private(const RouterOptions &options, Random seed)
        : m_options(options)
        , m_random(seed)
        , m_table(options)
        , m_chooser(ReplicaChooser::create(options.m_chooser))
        , m_retries(options.m_retries)
    {}

    RouteDecision route(const RequestAttributes &facts,
                        const std::vector<EndpointName> &alreadyTried, TimePoint now);
    RouteDecision refuse(ErrorKind kind, TimePoint now);
    RouteDecision accept(const RequestAttributes &facts, ReplicaIndex index);
    std::optional<ErrorKind> unknownPart(const RequestAttributes &facts) const;
    bool isPresent(ReplicaIndex index, Incarnation incarnation) const;
    bool isCrowded(const RequestAttributes &facts) const;

    RouterOptions m_options;
    Random m_random;
    ReplicaTable m_table;
    std::unique_ptr<ReplicaChooser> m_chooser;
    RetryPolicy m_retries;
};

RouteDecision EntryRouter::Private::route(const RequestAttributes &facts,
                                          const std::vector<EndpointName> &alreadyTried,
                                          TimePoint now)
{
    if (const auto kind = unknownPart(facts))
        return refuse(*kind, now);
    if (facts.m_deadline <= now)
        return refuse(ErrorKind::DeadlineTooShort, now);
    if (alreadyTried.empty())
        m_retries.noteRequest(facts);
    ChoiceContext context(m_table, m_options, facts, *m_table.groupsFor(facts), alreadyTried, now);
    auto index = m_chooser->choose(context, m_random);
    if (!index && m_options.m_coldLastResort) {
        context.permitColdReplicas();
        index = m_chooser->choose(context, m_random);
    }
    if (!index)
        return refuse(refusalReason(context), now);
    const std::chrono::duration<double, std::micro> needed(context.expectedCompletion(*index));
    if (m_options.m_gates && now + std::chrono::duration_cast<Duration>(needed) >= facts.m_deadline)
        return refuse(ErrorKind::DeadlineTooShort, now);
    return accept(facts, *index);
}

RouteDecision EntryRouter::Private::refuse(ErrorKind kind, TimePoint now)
{
    std::uniform_int_distribution<Duration::rep> spread(Duration(m_options.m_comeBackBase).count(),
                                                        Duration(m_options.m_comeBackCap).count());
    return {std::nullopt, RouteRefusal{kind, now + Duration(spread(m_random))}};
}

RouteDecision EntryRouter::Private::accept(const RequestAttributes &facts, ReplicaIndex index)
{
    if (facts.m_prefixHash != 0)
        m_table.notePrefix(index, facts.m_prefixHash, true);
    if (!facts.m_adapter.empty())
        m_table.noteAdapter(index, facts.m_adapter);
    const ReplicaAnnouncement &announced = *m_table.replica(index).m_announcement;
    const RouteTarget target{announced.m_endpoint, announced.m_linkAddress, announced.m_incarnation,
                             announced.m_dataCentre};
    return {target, std::nullopt};
}

std::optional<ErrorKind> EntryRouter::Private::unknownPart(const RequestAttributes &facts) const
{
    if (!m_table.configuration())
        return ErrorKind::NotReady;
    const Configuration &configuration = m_table.configuration()->m_configuration;
    if (configuration.workspace(facts.m_workspace) == nullptr)
        return ErrorKind::UnknownWorkspace;
    if (configuration.kind(facts.m_kind) == nullptr)
        return ErrorKind::UnknownKind;
    if (m_table.groupsFor(facts) != nullptr)
        return std::nullopt;
    return facts.m_model.empty() ? ErrorKind::UnknownKind : ErrorKind::UnknownModel;
}

// Whether an outcome of that incarnation concerns the replica as it is now.
bool EntryRouter::Private::isPresent(ReplicaIndex index, Incarnation incarnation) const
{
    const auto &announced = m_table.replica(index).m_announcement;
    return incarnation == Incarnation() || (announced && announced->m_incarnation == incarnation);
}

// Whether all groups that could take the request are crowded.
bool EntryRouter::Private::isCrowded(const RequestAttributes &facts) const
{
    const auto *groups = m_table.groupsFor(facts);
    return groups == nullptr
           || std::all_of(groups->begin(), groups->end(),
                          [this](GroupIndex index) { return m_table.group(index).isCrowded(); });
}

EntryRouter::EntryRouter(const RouterOptions &options, Random seed)
    : m_d(std::make_unique<Private>(options, seed))
{}

EntryRouter::~EntryRouter() = default;
EntryRouter::EntryRouter(EntryRouter &&) noexcept = default;
EntryRouter &EntryRouter::operator=(EntryRouter &&) noexcept = default;

bool EntryRouter::applyConfiguration(const ConfigurationPointer &configuration)
{
    if (!m_d->m_table.applyConfiguration(configuration))
        return false;
    m_d->m_retries.applyConfiguration(configuration->m_configuration);
    return true;
}

bool EntryRouter::applyAnnouncement(const ReplicaAnnouncement &announcement, TimePoint now)
{
    return m_d->m_table.announce(announcement, now);
}

void EntryRouter::setEntryCount(unsigned entries)
{
    m_d->m_table.setEntryCount(entries);
}

RouteDecision EntryRouter::route(const RequestAttributes &facts,
                                 const std::vector<EndpointName> &alreadyTried, TimePoint now)
{
    return m_d->route(facts, alreadyTried, now);
}

void EntryRouter::onDispatched(const EndpointName &endpoint, TimePoint now)
{
    if (const auto index = m_d->m_table.find(endpoint))
        m_d->m_table.noteDispatch(*index, now);
}

void EntryRouter::onAttemptEnded(const EndpointName &endpoint, AttemptOutcome outcome,
                                 const std::optional<LoadReport> &report, TimePoint now,
                                 Incarnation incarnation)
{
    const auto index = m_d->m_table.find(endpoint);
    if (!index || !m_d->isPresent(*index, incarnation))
        return;
    m_d->m_table.noteEnd(*index, outcome, now, m_d->m_random);
    if (report)
        m_d->m_table.noteReport(*index, *report, now);
}

void EntryRouter::recordLoad(const EndpointName &endpoint, const LoadReport &report, TimePoint now,
                             Incarnation incarnation)
{
    const auto index = m_d->m_table.find(endpoint);
    if (index && m_d->isPresent(*index, incarnation))
        m_d->m_table.noteReport(*index, report, now);
}

void EntryRouter::recordCompletion(const RequestAttributes &facts, Duration elapsed)
{
    m_d->m_retries.noteCompletion(facts, elapsed);
}

void EntryRouter::noteCacheEvent(const EndpointName &endpoint, std::uint64_t prefixHash,
                                 bool stored, TimePoint /*now*/)
{
    if (const auto index = m_d->m_table.find(endpoint))
        m_d->m_table.notePrefix(*index, prefixHash, stored);
}

RetryDecision EntryRouter::decideRetry(const RequestAttributes &facts, ErrorKind error,
                                       RunState runState, unsigned attempts, TimePoint now)
{
    return m_d->m_retries.retryAfter(facts, error, runState, attempts, now, m_d->m_random);
}

std::optional<TimePoint> EntryRouter::hedgeTime(const RequestAttributes &facts,
                                                TimePoint dispatchedAt) const
{
    return m_d->m_retries.hedgeAt(facts, dispatchedAt);
}

bool EntryRouter::tryTakeHedge(const RequestAttributes &facts, TimePoint now)
{
    return !m_d->isCrowded(facts) && m_d->m_retries.takeHedge(facts, now);
}

std::vector<EndpointSnapshot> EntryRouter::snapshot(TimePoint now) const
{
    return takeSnapshot(m_d->m_table, m_d->m_options.m_choice, now);
}

double EntryRouter::loadSkew(const GroupName &group, TimePoint now) const
{
    return skewOf(m_d->m_table, m_d->m_options.m_choice, group, now);
}

std::uint64_t EntryRouter::configurationVersion() const
{
    const ConfigurationPointer &configuration = m_d->m_table.configuration();
    return configuration ? configuration->m_version : 0;
}

} // namespace burdockhead
