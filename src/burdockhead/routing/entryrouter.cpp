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

    RouteDecision route(const RequestAttributes &request,
                        const std::vector<EndpointName> &alreadyTried, TimePoint now);
    RouteDecision refuse(ErrorKind kind, TimePoint now);
    RouteDecision accept(const RequestAttributes &request, ReplicaIndex index);
    std::optional<ErrorKind> unknownNameError(const RequestAttributes &request) const;
    bool isCurrent(ReplicaIndex index, Incarnation incarnation) const;
    bool isSaturated(const RequestAttributes &request) const;

    RouterOptions m_options;
    Random m_random;
    ReplicaTable m_table;
    std::unique_ptr<ReplicaChooser> m_chooser;
    RetryPolicy m_retries;
};

RouteDecision EntryRouter::Private::route(const RequestAttributes &request,
                                          const std::vector<EndpointName> &alreadyTried,
                                          TimePoint now)
{
    if (const auto kind = unknownNameError(request))
        return refuse(*kind, now);
    if (request.m_deadline <= now)
        return refuse(ErrorKind::DeadlineTooShort, now);
    if (alreadyTried.empty())
        m_retries.recordRequest(request);
    ChoiceContext context(m_table, m_options, request, *m_table.groupsFor(request), alreadyTried,
                          now);
    auto index = m_chooser->choose(context, m_random);
    if (!index && m_options.m_hasColdFallback) {
        context.enableColdFallback();
        index = m_chooser->choose(context, m_random);
    }
    if (!index)
        return refuse(refusalReason(context), now);
    const std::chrono::duration<double, std::micro> expected(
        context.expectedCompletionMicroseconds(*index));
    if (m_options.m_hasFilters
        && now + std::chrono::duration_cast<Duration>(expected) >= request.m_deadline)
        return refuse(ErrorKind::DeadlineTooShort, now);
    return accept(request, *index);
}

RouteDecision EntryRouter::Private::refuse(ErrorKind kind, TimePoint now)
{
    std::uniform_int_distribution<Duration::rep> retryDelay(
        Duration(m_options.m_retryAfterMinimum).count(),
        Duration(m_options.m_retryAfterMaximum).count());
    return {std::nullopt, RouteRefusal{kind, now + Duration(retryDelay(m_random))}};
}

RouteDecision EntryRouter::Private::accept(const RequestAttributes &request, ReplicaIndex index)
{
    if (request.m_prefixHash != 0)
        m_table.recordPrefix(index, request.m_prefixHash, true);
    if (!request.m_adapter.empty())
        m_table.recordAdapter(index, request.m_adapter);
    const ReplicaAnnouncement &announced = *m_table.replica(index).m_announcement;
    const RouteTarget target{announced.m_endpoint, announced.m_linkAddress, announced.m_incarnation,
                             announced.m_dataCentre};
    return {target, std::nullopt};
}

std::optional<ErrorKind>
EntryRouter::Private::unknownNameError(const RequestAttributes &request) const
{
    if (!m_table.configuration())
        return ErrorKind::NotReady;
    const Configuration &configuration = m_table.configuration()->m_configuration;
    if (configuration.workspace(request.m_workspace) == nullptr)
        return ErrorKind::UnknownWorkspace;
    if (configuration.kind(request.m_kind) == nullptr)
        return ErrorKind::UnknownKind;
    if (m_table.groupsFor(request) != nullptr)
        return std::nullopt;
    return request.m_model.empty() ? ErrorKind::UnknownKind : ErrorKind::UnknownModel;
}

// Returns whether the incarnation is the replica's current one; 0 always is.
bool EntryRouter::Private::isCurrent(ReplicaIndex index, Incarnation incarnation) const
{
    const auto &announced = m_table.replica(index).m_announcement;
    return incarnation == Incarnation() || (announced && announced->m_incarnation == incarnation);
}

// Returns whether all groups that serve the request are saturated.
bool EntryRouter::Private::isSaturated(const RequestAttributes &request) const
{
    const auto *groups = m_table.groupsFor(request);
    return groups == nullptr
           || std::all_of(groups->begin(), groups->end(),
                          [this](GroupIndex index) { return m_table.group(index).isSaturated(); });
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
    return m_d->m_table.applyAnnouncement(announcement, now);
}

void EntryRouter::setEntryCount(unsigned entries)
{
    m_d->m_table.setEntryCount(entries);
}

RouteDecision EntryRouter::route(const RequestAttributes &request,
                                 const std::vector<EndpointName> &alreadyTried, TimePoint now)
{
    return m_d->route(request, alreadyTried, now);
}

void EntryRouter::onDispatched(const EndpointName &endpoint, TimePoint now)
{
    if (const auto index = m_d->m_table.find(endpoint))
        m_d->m_table.onDispatched(*index, now);
}

void EntryRouter::onAttemptEnded(const EndpointName &endpoint, AttemptOutcome outcome,
                                 const std::optional<LoadReport> &report, TimePoint now,
                                 Incarnation incarnation)
{
    const auto index = m_d->m_table.find(endpoint);
    if (!index || !m_d->isCurrent(*index, incarnation))
        return;
    m_d->m_table.onAttemptEnded(*index, outcome, now, m_d->m_random);
    if (report)
        m_d->m_table.recordReport(*index, *report, now);
}

void EntryRouter::recordLoad(const EndpointName &endpoint, const LoadReport &report, TimePoint now,
                             Incarnation incarnation)
{
    const auto index = m_d->m_table.find(endpoint);
    if (index && m_d->isCurrent(*index, incarnation))
        m_d->m_table.recordReport(*index, report, now);
}

void EntryRouter::recordCompletion(const RequestAttributes &request, Duration elapsed)
{
    m_d->m_retries.recordCompletion(request, elapsed);
}

void EntryRouter::onCacheEvent(const EndpointName &endpoint, std::uint64_t prefixHash, bool stored,
                               TimePoint /*now*/)
{
    if (const auto index = m_d->m_table.find(endpoint))
        m_d->m_table.recordPrefix(*index, prefixHash, stored);
}

RetryDecision EntryRouter::decideRetry(const RequestAttributes &request, ErrorKind error,
                                       RunState runState, unsigned attempts, TimePoint now)
{
    return m_d->m_retries.decideRetry(request, error, runState, attempts, now, m_d->m_random);
}

std::optional<TimePoint> EntryRouter::hedgeTime(const RequestAttributes &request,
                                                TimePoint dispatchedAt) const
{
    return m_d->m_retries.hedgeTime(request, dispatchedAt);
}

bool EntryRouter::tryAcquireHedge(const RequestAttributes &request, TimePoint now)
{
    return !m_d->isSaturated(request) && m_d->m_retries.tryAcquireHedge(request, now);
}

std::vector<EndpointSnapshot> EntryRouter::snapshot(TimePoint now) const
{
    return takeSnapshot(m_d->m_table, m_d->m_options.m_chooserOptions, now);
}

double EntryRouter::loadSkew(const GroupName &group, TimePoint now) const
{
    return groupLoadSkew(m_d->m_table, m_d->m_options.m_chooserOptions, group, now);
}

std::uint64_t EntryRouter::configurationVersion() const
{
    const ConfigurationPointer &configuration = m_d->m_table.configuration();
    return configuration ? configuration->m_version : 0;
}

} // namespace burdockhead
