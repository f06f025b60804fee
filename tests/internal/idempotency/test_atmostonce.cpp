#include "requestsimulation.h"

#include <property.h>
#include <utility>

using namespace burdockhead;

namespace {

using Steps = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

// Runs a simulation of random events; returns true if the invariants held throughout.
bool invariantsHold(DisabledProtection disabled)
{
    RequestSimulation simulation(disabled);
    const auto event = rc::gen::inRange<std::uint32_t>(0, 16);
    const auto choice = rc::gen::inRange<std::uint32_t>(0, 1024);
    const auto steps = *rc::gen::container<Steps>(80, rc::gen::pair(event, choice));
    for (const auto &[drawnEvent, drawnChoice] : steps)
        simulation.step(drawnEvent, drawnChoice);
    return simulation.recovers() && simulation.holds();
}

} // namespace

BOOST_AUTO_TEST_SUITE(AtMostOnce)

BOOST_AUTO_TEST_CASE(a_key_runs_at_most_once_and_not_run_is_true_under_any_faults)
{
    checkProperty("at most once", [] { RC_ASSERT(invariantsHold(DisabledProtection::Nothing)); });
}

BOOST_AUTO_TEST_CASE(without_the_binding_to_an_incarnation_a_key_runs_twice)
{
    BOOST_TEST(
        !rc::check("no binding", [] { RC_ASSERT(invariantsHold(DisabledProtection::Binding)); }));
}

BOOST_AUTO_TEST_CASE(without_tombstones_a_refused_attempt_runs)
{
    BOOST_TEST(!rc::check("no tombstone",
                          [] { RC_ASSERT(invariantsHold(DisabledProtection::Tombstone)); }));
}

BOOST_AUTO_TEST_CASE(without_reading_back_after_a_lost_write_reply_a_key_runs_twice)
{
    BOOST_TEST(!rc::check("blind resend",
                          [] { RC_ASSERT(invariantsHold(DisabledProtection::ReadBack)); }));
}

BOOST_AUTO_TEST_SUITE_END()
