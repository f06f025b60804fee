#include "endpointmodel.h"

#include <property.h>
#include <utility>

using namespace burdockhead;

namespace {

using Steps = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

// Runs a model over generated events; returns true if its invariants hold throughout.
bool invariantsHoldWithout(DisabledMechanism disabled)
{
    EndpointModel model(disabled);
    const auto event = rc::gen::inRange<std::uint32_t>(0, 16);
    const auto choice = rc::gen::inRange<std::uint32_t>(0, 1024);
    const auto steps = *rc::gen::container<Steps>(200, rc::gen::pair(event, choice));
    for (const auto &[drawnEvent, drawnChoice] : steps)
        model.runEvent(drawnEvent, drawnChoice);
    if (disabled != DisabledMechanism::None)
        return model.invariantsHold();
    return model.invariantsHold() && model.recovers() && model.invariantsHold();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ColdStart)

BOOST_AUTO_TEST_CASE(a_cold_endpoint_never_receives_more_than_its_capacity_and_becomes_warm)
{
    checkProperty("cold start", [] { RC_ASSERT(invariantsHoldWithout(DisabledMechanism::None)); });
}

BOOST_AUTO_TEST_CASE(without_the_window_an_undetected_cold_start_overloads_the_endpoint)
{
    BOOST_TEST(!rc::check("no window",
                          [] { RC_ASSERT(invariantsHoldWithout(DisabledMechanism::Window)); }));
}

BOOST_AUTO_TEST_CASE(without_signals_a_cold_start_overloads_the_endpoint)
{
    BOOST_TEST(!rc::check("no signs",
                          [] { RC_ASSERT(invariantsHoldWithout(DisabledMechanism::Signals)); }));
}

BOOST_AUTO_TEST_CASE(requests_without_a_confirmed_end_must_count)
{
    BOOST_TEST(!rc::check(
        "no counting", [] { RC_ASSERT(invariantsHoldWithout(DisabledMechanism::RunningCount)); }));
}

BOOST_AUTO_TEST_CASE(a_probe_must_not_overtake_the_requests_that_it_confirms)
{
    BOOST_TEST(!rc::check("no order",
                          [] { RC_ASSERT(invariantsHoldWithout(DisabledMechanism::Ordering)); }));
}

BOOST_AUTO_TEST_CASE(without_refusals_a_draining_endpoint_receives_new_requests)
{
    BOOST_TEST(!rc::check("no refusal",
                          [] { RC_ASSERT(invariantsHoldWithout(DisabledMechanism::Refusal)); }));
}

BOOST_AUTO_TEST_SUITE_END()
