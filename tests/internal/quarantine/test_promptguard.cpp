#include "fleetsimulation.h"
#include "property.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// What the rules of the users' platform permit.
constexpr std::size_t maxLateArrivals = 3;
constexpr std::size_t maxCrashes = 5;

// All gateways of a fleet that agree.
std::size_t gatewaysThatQuarantine(FleetSimulation &fleet, std::size_t gateways,
                                   const PromptPart &part)
{
    std::size_t count = 0;
    for (std::size_t number = 0; number < gateways; ++number)
        count += fleet.guard(number).quarantines().findActive(part) != nullptr ? 1 : 0;
    return count;
}

void checkFatalPartIsStopped(const FleetOptions &options, std::uint64_t seed)
{
    FleetSimulation fleet(options, seed);
    fleet.setFatalRequests(false);
    fleet.run(Seconds(3));
    fleet.setFatalRequests(true);
    fleet.run(Seconds(30));
    BOOST_TEST_CONTEXT("seed " << seed)
    {
        BOOST_TEST(fleet.lateFatalArrivals() <= maxLateArrivals);
        BOOST_TEST(fleet.fatalCrashes() > 0U);
        BOOST_TEST(gatewaysThatQuarantine(fleet, options.m_gateways, FleetSimulation::fatalPart())
                   == options.m_gateways);
        BOOST_TEST(gatewaysThatQuarantine(fleet, options.m_gateways, FleetSimulation::firstPart())
                   == 0U);
        fleet.clearCounts();
        fleet.run(Seconds(10));
        // Of what arrives at least nine in ten are served: none fails for other reasons here.
        BOOST_TEST(static_cast<double>(fleet.soundServed()) > 9 * options.m_soundPerSecond);
        BOOST_TEST(fleet.soundQuarantined() * 20 < fleet.soundServed());
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromptGuardTest)

BOOST_AUTO_TEST_CASE(a_fatal_part_is_kept_from_a_group_of_ranks)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        checkFatalPartIsStopped({}, seed);
}

BOOST_AUTO_TEST_CASE(a_fatal_part_is_kept_from_endpoints_that_run_alone)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        checkFatalPartIsStopped({.m_isGroup = false}, seed);
}

BOOST_AUTO_TEST_CASE(a_fatal_part_in_few_requests_is_found)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        checkFatalPartIsStopped({.m_fatalPerSecond = 0.4}, seed);
}

BOOST_AUTO_TEST_CASE(a_fatal_part_in_a_quarter_of_the_requests_is_found)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        checkFatalPartIsStopped({.m_fatalPerSecond = 20}, seed);
}

BOOST_AUTO_TEST_CASE(a_hundred_gateways_agree)
{
    checkFatalPartIsStopped({.m_gateways = 100, .m_endpoints = 64, .m_soundPerSecond = 90}, 1);
}

// Whoever sends fatal requests can name the parts of others in them.
BOOST_AUTO_TEST_CASE(parts_that_fatal_requests_share_with_sound_ones_stay_in_use)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        checkFatalPartIsStopped({.m_sharesFatalTopic = true}, seed);
}

BOOST_AUTO_TEST_CASE(a_group_is_stopped_a_few_times_only)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FleetSimulation fleet({}, seed);
        fleet.run(Seconds(50));
        BOOST_TEST(fleet.fatalCrashes() <= maxCrashes);
    }
}

// Naive versions.
BOOST_AUTO_TEST_CASE(without_a_quarantine_endpoints_crash_without_end)
{
    FleetSimulation fleet({.m_usesQuarantine = false}, 1);
    fleet.run(Seconds(50));
    BOOST_TEST(fleet.lateFatalArrivals() > maxLateArrivals);
}

BOOST_AUTO_TEST_CASE(gateways_that_decide_by_themselves_learn_too_late)
{
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FleetSimulation fleet({.m_usesGossip = false}, seed);
        fleet.run(Seconds(60));
        broken += fleet.lateFatalArrivals() > maxLateArrivals ? 1 : 0;
    }
    BOOST_TEST(broken >= 9U);
}

BOOST_AUTO_TEST_CASE(parts_that_cannot_clear_themselves_hold_up_sound_requests)
{
    const auto served = [](bool usesSoundParts) {
        FleetSimulation fleet({.m_usesSoundParts = usesSoundParts}, 1);
        fleet.run(Seconds(60));
        return fleet.soundServed();
    };
    BOOST_TEST(2 * served(false) < served(true));
}

// Zones lose power and single endpoints crash for reasons of their own.
BOOST_AUTO_TEST_CASE(crashes_that_no_part_causes_put_nothing_in_quarantine)
{
    for (const bool isGroup : {true, false}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            FleetSimulation fleet({.m_isGroup = isGroup}, seed);
            fleet.setFatalRequests(false);
            Random random(seed);
            for (int fault = 0; fault < 12; ++fault) {
                fleet.run(Milliseconds(200 + random() % 5000));
                fleet.crashEndpoints(random() % 16, 1 + (random() % 3 == 0 ? 5 : 0));
            }
            fleet.run(Seconds(10));
            BOOST_TEST_CONTEXT("seed " << seed << ", group " << isGroup)
            {
                BOOST_TEST(fleet.soundQuarantined() * 50 < fleet.soundServed());
                BOOST_TEST(gatewaysThatQuarantine(fleet, 9, FleetSimulation::firstPart()) == 0U);
            }
        }
    }
}

// Gateways restart, and some don't hear the others for seconds.
BOOST_AUTO_TEST_CASE(gateways_that_restart_or_were_cut_off_learn_of_a_quarantine)
{
    checkProperty("few requests with the fatal part reach endpoints", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        const bool isGroup = *rc::gen::arbitrary<bool>();
        FleetSimulation fleet({.m_isGroup = isGroup, .m_gossipLoss = 0.1}, seed);
        fleet.setFatalRequests(false);
        fleet.run(Seconds(2));
        fleet.setFatalRequests(true);
        const int faults = *rc::gen::inRange(0, 12);
        for (int fault = 0; fault < faults; ++fault) {
            fleet.run(Milliseconds(*rc::gen::inRange(100, 4000)));
            const auto gateway = *rc::gen::inRange<std::size_t>(0, 9);
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                fleet.restartGateway(gateway);
                break;
            case 1:
                fleet.cutGateway(gateway, Milliseconds(*rc::gen::inRange(100, 6000)));
                break;
            default:
                fleet.crashEndpoints(gateway, *rc::gen::inRange<std::size_t>(1, 6));
                break;
            }
        }
        fleet.run(Seconds(15));
        RC_ASSERT(fleet.lateFatalArrivals() <= maxLateArrivals);
        RC_ASSERT(gatewaysThatQuarantine(fleet, 9, FleetSimulation::firstPart()) == 0U);
    });
}

BOOST_AUTO_TEST_CASE(a_part_that_has_become_sound_is_used_again_after_a_single_trial)
{
    FleetSimulation fleet({}, 3);
    fleet.run(Seconds(30));
    BOOST_REQUIRE(gatewaysThatQuarantine(fleet, 9, FleetSimulation::fatalPart()) == 9U);
    fleet.setFatal(false);
    fleet.skip(Seconds(120));
    fleet.run(Seconds(10));
    BOOST_TEST(gatewaysThatQuarantine(fleet, 9, FleetSimulation::fatalPart()) == 0U);
}

// In a day three trials at most, though requests with the part come all the time.
BOOST_AUTO_TEST_CASE(a_part_that_stays_fatal_is_tried_less_and_less_often)
{
    FleetSimulation fleet({}, 3);
    fleet.run(Seconds(30));
    BOOST_REQUIRE(gatewaysThatQuarantine(fleet, 9, FleetSimulation::fatalPart()) == 9U);
    const std::size_t before = fleet.fatalArrivals();
    for (int span = 0; span < 24 * 6; ++span) {
        fleet.skip(std::chrono::minutes(10) - Seconds(8));
        fleet.run(Seconds(8));
    }
    BOOST_TEST(fleet.fatalArrivals() - before <= maxLateArrivals);
    BOOST_TEST(fleet.fatalArrivals() > before);
}

BOOST_AUTO_TEST_CASE(an_operator_lifts_a_quarantine_at_all_gateways)
{
    FleetSimulation fleet({}, 4);
    fleet.run(Seconds(30));
    BOOST_REQUIRE(gatewaysThatQuarantine(fleet, 9, FleetSimulation::fatalPart()) == 9U);
    fleet.setFatalRequests(false);
    BOOST_TEST(fleet.guard(5).lift(FleetSimulation::fatalPart(), fleet.now()));
    BOOST_TEST(!fleet.guard(5).lift(FleetSimulation::fatalPart(), fleet.now()));
    fleet.run(Seconds(3));
    BOOST_TEST(gatewaysThatQuarantine(fleet, 9, FleetSimulation::fatalPart()) == 0U);
}

// Callers choose the identifiers, and may send a new one with each request.
BOOST_AUTO_TEST_CASE(memory_and_messages_stay_bounded_with_parts_without_end)
{
    constexpr std::size_t maxMessageBytes = 60000;
    const GroupName service("llm");
    PromptGuard guard(ProcessName("g"));
    TimePoint now = TimePoint(Seconds(1000));
    std::size_t longestMessage = 0;
    for (int request = 0; request < 20000; ++request) {
        now += Milliseconds(5);
        const std::string number = std::to_string(request);
        const PromptParts parts =
            makePromptParts(service, {"a" + number, std::string(2000, 'x') + number});
        const EndpointRun endpoint = {EndpointName("e"), static_cast<std::uint64_t>(request)};
        guard.recordArrival(service, parts);
        guard.recordSound(makePromptParts(service, {"b" + number}), now);
        guard.recordBroken(endpoint, service, parts, now);
        guard.recordGone(endpoint, now);
        guard.refresh(now);
        longestMessage =
            std::max(longestMessage, writeQuarantineMessage(guard.newsToSend(now), now).size());
    }
    BOOST_TEST(longestMessage < maxMessageBytes);
    BOOST_TEST(guard.evidence().suspects().size() <= 64U * 64U);
    BOOST_TEST(guard.quarantines().entries().size() <= 1024U);
}

BOOST_AUTO_TEST_SUITE_END()
