#include "property.h"
#include "routingfixture.h"
#include <burdockhead/routing/entryrouter.h>

#include <map>
#include <ostream>
#include <string>
#include <vector>

using namespace burdockhead;

namespace {

constexpr unsigned endpoints = 6;

// One step of a property; the meaning of the numbers depends on the action.
struct Step
{
    unsigned m_action = 0;
    unsigned m_endpoint = 0;
    unsigned m_number = 0;
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << step.m_action << "/e" << step.m_endpoint << '/' << step.m_number;
}

rc::Gen<std::vector<Step>> steps()
{
    return rc::gen::container<std::vector<Step>>(
        rc::gen::build<Step>(rc::gen::set(&Step::m_action, rc::gen::inRange(0U, 18U)),
                             rc::gen::set(&Step::m_endpoint, rc::gen::inRange(0U, endpoints)),
                             rc::gen::set(&Step::m_number, rc::gen::inRange(0U, 24U))));
}

// State of an endpoint as announced and reported to the router.
struct KnownState
{
    unsigned m_incarnation = 0;
    ReplicaState m_state = ReplicaState::Dead;
    bool m_hasLeft = false;
    LoadReport m_report;
    bool m_hasReport = false;
    unsigned m_inFlight = 0;
};

// Runs a router, records everything announced and reported to it, and checks each target against
// that record.
class RouterChecker
{
public:
    // A router that ignores updates gets the first configuration only, and every announcement as
    // alive, so that neither excludes a replica.
    explicit RouterChecker(const RouterOptions &options, bool ignoresUpdates = false)
        : m_router(options, Random(1))
        , m_ignoresUpdates(ignoresUpdates)
    {
        configure(makeConfiguration(endpoints));
    }

    // Returns the first violation; empty for none.
    std::string run(const std::vector<Step> &steps)
    {
        for (const Step &step : steps) {
            run(step);
            if (!m_violation.empty())
                break;
        }
        return m_violation;
    }

private:
    void run(const Step &step)
    {
        m_now += Milliseconds(step.m_number * 10);
        switch (step.m_action) {
        case 0:
            return takeOutOrBringBack(step.m_number);
        case 1:
            return setLeaving(step.m_endpoint, step.m_number);
        case 2:
            return configure(makeConfiguration(step.m_endpoint));
        case 3:
        case 4:
        case 5:
            return announce(step);
        case 6:
            return report(step);
        case 7:
            return answer(step);
        default:
            return route(step.m_number % 2 == 0 ? modelRequest() : paymentRequest());
        }
    }

    void configure(const Configuration &configuration)
    {
        m_configuration = configuration;
        if (!m_ignoresUpdates || m_version == 0)
            m_router.applyConfiguration(makeVersion(++m_version, configuration));
    }

    void takeOutOrBringBack(unsigned number)
    {
        Configuration changed = m_configuration;
        bool &out = changed.m_dataCentres[number % 3].m_takenOut;
        out = !out;
        configure(changed);
    }

    void setLeaving(unsigned endpoint, unsigned number)
    {
        Configuration changed = m_configuration;
        if (endpoint >= changed.m_endpoints.size())
            return;
        changed.m_endpoints[endpoint].m_leaving = number % 2 == 0;
        configure(changed);
    }

    void announce(const Step &step)
    {
        const unsigned incarnation = 1 + step.m_number / 8;
        const unsigned draw = step.m_number % 8;
        const auto state = draw < 5 ? ReplicaState::Alive : static_cast<ReplicaState>(draw - 4);
        const auto announced = m_ignoresUpdates ? ReplicaState::Alive : state;
        m_router.applyAnnouncement(makeAnnouncement(step.m_endpoint, incarnation, announced),
                                   m_now);
        KnownState &known = m_known[endpointName(step.m_endpoint)];
        if (incarnation < known.m_incarnation)
            return;
        if (incarnation > known.m_incarnation)
            known = KnownState{.m_incarnation = incarnation, .m_report = {}};
        const bool isRevived = known.m_state == ReplicaState::Dead && state < ReplicaState::Leaving
                               && !known.m_hasLeft;
        if (isRevived)
            known.m_hasReport = false;
        known.m_hasLeft = known.m_hasLeft || state == ReplicaState::Leaving;
        known.m_state = state;
    }

    void report(const Step &step)
    {
        KnownState &known = m_known[endpointName(step.m_endpoint)];
        if (known.m_incarnation == 0)
            return;
        known.m_report.m_isLeaving = step.m_number == 0;
        known.m_report.m_isCold = step.m_number % 2 == 0;
        known.m_report.m_concurrencyLimit = known.m_report.m_isCold ? 2 : 4;
        known.m_hasReport = true;
        m_router.recordLoad(endpointName(step.m_endpoint), known.m_report, m_now);
    }

    void answer(const Step &step)
    {
        KnownState &known = m_known[endpointName(step.m_endpoint)];
        if (known.m_inFlight == 0)
            return;
        --known.m_inFlight;
        const auto outcome = static_cast<AttemptOutcome>(step.m_number % 5);
        m_router.onAttemptEnded(endpointName(step.m_endpoint), outcome, std::nullopt, m_now);
    }

    void route(const RequestAttributes &request)
    {
        const RouteDecision decision = m_router.route(request, {}, m_now);
        if (decision.m_target.has_value() == decision.m_refusal.has_value())
            m_violation = "neither a target nor a refusal, or both";
        if (!decision.m_target)
            return;
        check(*decision.m_target, request);
        ++m_known[decision.m_target->m_endpoint].m_inFlight;
        m_router.onDispatched(decision.m_target->m_endpoint, m_now);
    }

    void check(const RouteTarget &target, const RequestAttributes &request)
    {
        const KnownState &known = m_known[target.m_endpoint];
        const Endpoint *endpoint = m_configuration.endpoint(target.m_endpoint);
        if (endpoint == nullptr)
            m_violation = "not configured";
        else if (endpoint->m_group != GroupName(request.m_model.empty() ? "service" : "model"))
            m_violation = "of another group";
        else if (endpoint->m_leaving || known.m_hasLeft
                 || (known.m_hasReport && known.m_report.m_isLeaving))
            m_violation = "leaving";
        else if (m_configuration.isTakenOut(endpoint->m_dataCentre))
            m_violation = "in a data centre that is taken out";
        else if (known.m_state == ReplicaState::Dead)
            m_violation = "dead";
        else if (target.m_incarnation.m_value != known.m_incarnation)
            m_violation = "an older incarnation";
        else if ((!known.m_hasReport || known.m_report.m_isCold) && known.m_inFlight >= coldLimit)
            m_violation = "cold and at its limit";
    }

    // A single entry may use the whole cold limit of the fixture's groups.
    static constexpr unsigned coldLimit = 2;

    EntryRouter m_router;
    bool m_ignoresUpdates;
    Configuration m_configuration;
    std::map<EndpointName, KnownState> m_known;
    std::uint64_t m_version = 0;
    TimePoint m_now = startTime;
    std::string m_violation;
};

RouterOptions singleEntryOptions(ChooserType chooser = ChooserType::PowerOfChoices)
{
    RouterOptions options;
    options.m_entryCount = 1;
    options.m_chooser = chooser;
    options.m_hasColdFallback = false; // The reference model has no cold fallback.
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryRouterProperties)

BOOST_AUTO_TEST_CASE(requests_are_routed_to_permitted_replicas_only)
{
    checkProperty("any order of changes and requests",
                  [] { RC_ASSERT(RouterChecker(singleEntryOptions()).run(*steps()).empty()); });
}

BOOST_AUTO_TEST_CASE(the_baseline_choosers_do_so_too_with_the_same_filters)
{
    checkProperty("any order of changes and requests", [] {
        const auto chooser =
            *rc::gen::element(ChooserType::RoundRobin, ChooserType::LeastReportedLoad);
        RC_ASSERT(RouterChecker(singleEntryOptions(chooser)).run(*steps()).empty());
    });
}

BOOST_AUTO_TEST_CASE(a_router_without_filters_is_detected_overloading_cold_endpoints)
{
    RouterOptions options = singleEntryOptions();
    options.m_hasFilters = false;
    BOOST_TEST(!rc::check("expected to be falsifiable: no filters",
                          [&] { RC_ASSERT(RouterChecker(options).run(*steps()).empty()); }));
}

BOOST_AUTO_TEST_CASE(a_router_that_ignores_updates_is_detected)
{
    BOOST_TEST(!rc::check("expected to be falsifiable: ignores updates", [] {
        RC_ASSERT(RouterChecker(singleEntryOptions(), true).run(*steps()).empty());
    }));
}

BOOST_AUTO_TEST_SUITE_END()
