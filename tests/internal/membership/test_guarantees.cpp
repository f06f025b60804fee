#include "simulatedcluster.h"

#include <property.h>

using namespace burdockhead;

namespace {

constexpr Seconds faultTime(16);    // Faults and changes begin within this time.
constexpr Seconds recoveryTime(15); // From the last fault until every process is current again.

struct FaultRunResult
{
    std::string m_violation;
    bool m_isConverged = false;
    std::size_t m_acceptedCount = 0;
};

struct FaultPlan
{
    std::size_t m_dataCentreCount = 3;
    std::size_t m_entriesPerDataCentre = 2;
    std::uint64_t m_seed = 0;
    std::size_t m_faultCount = 4;
};

// Runs one simulation: warm-up, overlapping faults, concurrent changes and time to recover.
FaultRunResult runPlan(const FaultPlan &plan, DisabledSafeguard disabledSafeguard)
{
    Random random(plan.m_seed);
    SimulatedCluster cluster(plan.m_dataCentreCount, plan.m_entriesPerDataCentre, plan.m_seed,
                             disabledSafeguard);
    cluster.runUntil(cluster.now() + Seconds(5));
    const TimePoint start = cluster.now();
    const auto randomTime = [&] { return start + Milliseconds(random() % 16000); };
    TimePoint end = start + faultTime;
    for (std::size_t index = 0; index < plan.m_faultCount; ++index) {
        const TimePoint from = randomTime();
        const TimePoint until = from + Milliseconds(100 + random() % 9000);
        cluster.addFault(
            {static_cast<FaultKind>(random() % faultKindCount), random(), from, until});
        end = std::max(end, until);
    }
    for (int index = 0; index < 8; ++index) {
        const TimePoint at = randomTime();
        cluster.scheduleChange(at, random());
        if (random() % 2 == 0)
            cluster.scheduleChange(at + Milliseconds(random() % 30), random());
    }
    cluster.runUntil(end + recoveryTime);
    return {cluster.violation(), cluster.isConverged(), cluster.acceptedCount()};
}

FaultPlan generatePlan()
{
    FaultPlan plan;
    plan.m_dataCentreCount = *rc::gen::inRange<std::size_t>(1, 5);
    plan.m_entriesPerDataCentre = *rc::gen::inRange<std::size_t>(1, 4);
    plan.m_faultCount = *rc::gen::inRange<std::size_t>(0, 7);
    plan.m_seed = *rc::gen::arbitrary<std::uint64_t>();
    return plan;
}

// Returns the violation of the first seed of 200 whose run has one, or an empty string.
std::string findViolation(DisabledSafeguard disabledSafeguard)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const FaultRunResult result = runPlan({3, 2, seed, 6}, disabledSafeguard);
        if (!result.m_violation.empty()) {
            BOOST_TEST_MESSAGE("seed " << seed << ": " << result.m_violation);
            return result.m_violation;
        }
    }
    return {};
}

FaultRunResult runRestartedQuorum(DisabledSafeguard disabledSafeguard)
{
    SimulatedCluster cluster(3, 1, 1, disabledSafeguard);
    cluster.runUntil(cluster.now() + Seconds(5));
    const TimePoint start = cluster.now();
    const auto at = [start](int milliseconds) { return start + Milliseconds(milliseconds); };
    const std::size_t a = 0;
    const std::size_t b = 1;
    const std::size_t c = 2;
    cluster.addFault({FaultKind::PartitionFromPlatform, b, at(0), at(12000)});
    cluster.addFault({FaultKind::PartitionFromPlatform, c, at(0), at(12000)});
    cluster.addFault({FaultKind::PartitionDataCentre, c, at(0), at(1300)});
    cluster.scheduleChange(at(100), a);
    cluster.addFault({FaultKind::PartitionFromAll, a, at(1200), at(12000)});
    cluster.addFault({FaultKind::RestartDataCentre, b, at(1250), at(1300)});
    cluster.runUntil(at(12000) + recoveryTime);
    return {cluster.violation(), cluster.isConverged(), cluster.acceptedCount()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationGuarantees)

BOOST_AUTO_TEST_CASE(no_process_accepts_work_without_a_version_accepted_three_seconds_ago)
{
    std::size_t acceptedCount = 0;
    checkProperty("faults, two and more at a time", [&acceptedCount] {
        const FaultPlan plan = generatePlan();
        const FaultRunResult result = runPlan(plan, DisabledSafeguard::None);
        if (!result.m_violation.empty())
            RC_FAIL(result.m_violation);
        RC_ASSERT(result.m_isConverged);
        acceptedCount += result.m_acceptedCount;
    });
    BOOST_TEST_MESSAGE("changes accepted: " << acceptedCount);
    BOOST_TEST(acceptedCount > 100U);
}

BOOST_AUTO_TEST_CASE(the_checks_detect_a_missing_freshness_check)
{
    BOOST_TEST(findViolation(DisabledSafeguard::FreshnessCheck).find("takes work")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_checks_detect_acceptance_without_a_quorum)
{
    BOOST_TEST(findViolation(DisabledSafeguard::Quorum).find("takes work") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_checks_detect_evidence_dated_by_its_arrival)
{
    BOOST_TEST(findViolation(DisabledSafeguard::RequestTime).find("takes work")
               != std::string::npos);
}

// All processes of a data centre that was part of the accepting quorum restart while it is
// partitioned from the other data centre with the change, and reach only the one without it.
BOOST_AUTO_TEST_CASE(a_restarted_data_centre_is_no_evidence_for_versions_it_has_lost)
{
    BOOST_TEST(runRestartedQuorum(DisabledSafeguard::None).m_violation == "");
    BOOST_TEST(runRestartedQuorum(DisabledSafeguard::None).m_isConverged);
    BOOST_TEST(runRestartedQuorum(DisabledSafeguard::None).m_acceptedCount == 1U);
    const std::string violation = runRestartedQuorum(DisabledSafeguard::Authority).m_violation;
    BOOST_TEST(violation.find("takes work") != std::string::npos);
}

// With the platform down, processes stay current as long as all data centres are connected.
BOOST_AUTO_TEST_CASE(processes_stay_current_during_a_platform_outage)
{
    for (const std::size_t dataCentres : {1U, 2U, 3U, 4U}) {
        SimulatedCluster cluster(dataCentres, 2, dataCentres, DisabledSafeguard::None);
        cluster.runUntil(cluster.now() + Seconds(5));
        cluster.addFault({FaultKind::PlatformDown, 0, cluster.now(), cluster.now() + Seconds(60)});
        for (int second = 0; second < 50; ++second) {
            cluster.runUntil(cluster.now() + Seconds(1));
            BOOST_TEST(cluster.isConverged());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
