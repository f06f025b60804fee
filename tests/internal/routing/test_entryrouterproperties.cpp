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

// One step of a property; what the numbers mean depends on the action.
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

// What the outside world has said of an endpoint.
struct Said
{
    unsigned m_incarnation = 0;
    ReplicaState m_state = ReplicaState::Dead;
    bool m_left = false;
    LoadReport m_report;
    bool m_reported = false;
    unsigned m_inFlight = 0;
};

// Runs a router beside a record of all that was said to it, and checks each target against
// the record.
class Run
{
public:
    // A deaf router is told the first configuration and who runs, and nothing that forbids.
    explicit Run(const RouterOptions &options, bool deaf = false)
        : m_router(options, Random(1))
        , m_deaf(deaf)
    {
        configure(makeConfiguration(endpoints));
    }

    // What was broken first; empty for nothing.
    std::string play(const std::vector<Step> &steps)
    {
        for (const Step &step : steps) {
            play(step);
            if (!m_broken.empty())
                break;
        }
        return m_broken;
    }

private:
    void play(const Step &step)
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
        if (!m_deaf || m_version == 0)
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
        const unsigned dice = step.m_number % 8;
        const auto state = dice < 5 ? ReplicaState::Alive : static_cast<ReplicaState>(dice - 4);
        const auto told = m_deaf ? ReplicaState::Alive : state;
        m_router.announce(makeAnnouncement(step.m_endpoint, incarnation, told), m_now);
        Said &said = m_said[endpointName(step.m_endpoint)];
        if (incarnation < said.m_incarnation)
            return;
        if (incarnation > said.m_incarnation)
            said = Said{.m_incarnation = incarnation, .m_report = {}};
        const bool revived =
            said.m_state == ReplicaState::Dead && state < ReplicaState::Leaving && !said.m_left;
        if (revived)
            said.m_reported = false;
        said.m_left = said.m_left || state == ReplicaState::Leaving;
        said.m_state = state;
    }

    void report(const Step &step)
    {
        Said &said = m_said[endpointName(step.m_endpoint)];
        if (said.m_incarnation == 0)
            return;
        said.m_report.m_isLeaving = step.m_number == 0;
        said.m_report.m_isCold = step.m_number % 2 == 0;
        said.m_report.m_concurrencyLimit = said.m_report.m_isCold ? 2 : 4;
        said.m_reported = true;
        m_router.noteLoad(endpointName(step.m_endpoint), said.m_report, m_now);
    }

    void answer(const Step &step)
    {
        Said &said = m_said[endpointName(step.m_endpoint)];
        if (said.m_inFlight == 0)
            return;
        --said.m_inFlight;
        const auto outcome = static_cast<AttemptOutcome>(step.m_number % 5);
        m_router.answered(endpointName(step.m_endpoint), outcome, std::nullopt, m_now);
    }

    void route(const RequestFacts &facts)
    {
        const RouteDecision decision = m_router.route(facts, {}, m_now);
        if (decision.m_target.has_value() == decision.m_refusal.has_value())
            m_broken = "neither a target nor a refusal, or both";
        if (!decision.m_target)
            return;
        check(*decision.m_target, facts);
        ++m_said[decision.m_target->m_endpoint].m_inFlight;
        m_router.dispatched(decision.m_target->m_endpoint, m_now);
    }

    void check(const RouteTarget &target, const RequestFacts &facts)
    {
        const Said &said = m_said[target.m_endpoint];
        const Endpoint *endpoint = m_configuration.endpoint(target.m_endpoint);
        if (endpoint == nullptr)
            m_broken = "not configured";
        else if (endpoint->m_group != GroupName(facts.m_model.empty() ? "service" : "model"))
            m_broken = "of another group";
        else if (endpoint->m_leaving || said.m_left
                 || (said.m_reported && said.m_report.m_isLeaving))
            m_broken = "leaving";
        else if (m_configuration.isTakenOut(endpoint->m_dataCentre))
            m_broken = "in a data centre that is taken out";
        else if (said.m_state == ReplicaState::Dead)
            m_broken = "dead";
        else if (target.m_incarnation.m_value != said.m_incarnation)
            m_broken = "an older incarnation";
        else if ((!said.m_reported || said.m_report.m_isCold) && said.m_inFlight >= coldLimit)
            m_broken = "cold and at its limit";
    }

    // One entry alone may use the whole cold limit of the fixture's groups.
    static constexpr unsigned coldLimit = 2;

    EntryRouter m_router;
    bool m_deaf;
    Configuration m_configuration;
    std::map<EndpointName, Said> m_said;
    std::uint64_t m_version = 0;
    TimePoint m_now = startTime;
    std::string m_broken;
};

RouterOptions alone(ChooserType chooser = ChooserType::PowerOfChoices)
{
    RouterOptions options;
    options.m_entries = 1;
    options.m_chooser = chooser;
    options.m_coldLastResort = false; // The oracle knows the shares alone.
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryRouterProperties)

BOOST_AUTO_TEST_CASE(work_goes_only_where_it_may)
{
    checkProperty("any order of changes and requests",
                  [] { RC_ASSERT(Run(alone()).play(*steps()).empty()); });
}

BOOST_AUTO_TEST_CASE(the_naive_choosers_keep_to_it_too_behind_the_same_gates)
{
    checkProperty("any order of changes and requests", [] {
        const auto chooser =
            *rc::gen::element(ChooserType::RoundRobin, ChooserType::LeastReportedLoad);
        RC_ASSERT(Run(alone(chooser)).play(*steps()).empty());
    });
}

BOOST_AUTO_TEST_CASE(a_router_without_gates_is_caught_overloading_cold_endpoints)
{
    RouterOptions options = alone();
    options.m_gates = false;
    BOOST_TEST(!rc::check("expected to be falsifiable: no gates",
                          [&] { RC_ASSERT(Run(options).play(*steps()).empty()); }));
}

BOOST_AUTO_TEST_CASE(a_router_that_hears_of_no_change_is_caught)
{
    BOOST_TEST(!rc::check("expected to be falsifiable: hears of no change",
                          [] { RC_ASSERT(Run(alone(), true).play(*steps()).empty()); }));
}

BOOST_AUTO_TEST_SUITE_END()
