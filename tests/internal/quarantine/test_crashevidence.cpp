#include <burdockhead/quarantine/crashevidence.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

const GroupName service("llm");

PromptPart part(const std::string &id)
{
    return {service, id};
}

struct Fixture
{
    // Adds a crash of an endpoint, before which the service has made progress until that time.
    void crash(const std::string &endpoint, TimePoint lastProgressAt,
               const std::set<std::string> &suspects)
    {
        m_evidence.add({{EndpointName(endpoint), 1}, service, m_now, lastProgressAt, suspects});
    }

    std::size_t outages(const std::string &id) const { return incrimination(id).m_outages; }

    Incrimination incrimination(const std::string &id) const
    {
        return m_evidence.incriminationOf(part(id), TimePoint(),
                                          [](const CrashReport &) { return false; });
    }

    CrashEvidence m_evidence;
    TimePoint m_now = TimePoint(Seconds(100));
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashEvidenceTest, Fixture)

BOOST_AUTO_TEST_CASE(a_part_of_each_outage_is_counted_in_each)
{
    crash("e1", m_now, {"a", "b"});
    m_now += Seconds(5);
    crash("e2", m_now, {"a", "c"});
    BOOST_TEST(outages("a") == 2U);
    BOOST_TEST(outages("b") == 1U);
    BOOST_TEST(outages("other") == 0U);
}

BOOST_AUTO_TEST_CASE(reports_of_several_gateways_on_one_crash_add_up)
{
    crash("e1", m_now, {"a"});
    crash("e1", m_now, {"b"});
    BOOST_TEST(outages("a") == 1U);
    BOOST_TEST(outages("b") == 1U);
    BOOST_TEST(m_evidence.crashesAfter(TimePoint()).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_sound_part_is_cleared_of_earlier_crashes)
{
    crash("e1", m_now, {"a"});
    BOOST_TEST(m_evidence.isSuspect(part("a")));
    m_now += Seconds(1);
    BOOST_TEST(m_evidence.recordSound(part("a"), m_now));
    BOOST_TEST(!m_evidence.isSuspect(part("a")));
    m_now += Seconds(5);
    crash("e2", m_now, {"a"});
    BOOST_TEST(outages("a") == 1U);
}

// A zone loses power, or the ranks of a failing group end one after the other.
BOOST_AUTO_TEST_CASE(crashes_in_one_outage_count_once)
{
    const TimePoint lastProgressAt = m_now;
    for (const std::string endpoint : {"e1", "e2", "e3"})
        crash(endpoint, lastProgressAt, {"a"});
    m_now += Milliseconds(2500);
    crash("e4", lastProgressAt, {"a"});
    BOOST_TEST(outages("a") == 1U);
}

BOOST_AUTO_TEST_CASE(a_part_of_few_crashes_of_an_outage_does_not_count)
{
    crash("e1", m_now, {"a", "b"});
    crash("e2", m_now, {"a", "c"});
    crash("e3", m_now, {"a", "b"});
    BOOST_TEST(outages("c") == 0U);
    BOOST_TEST(outages("b") == 1U);
    BOOST_TEST(incrimination("b").m_crashes == 0U);
    BOOST_TEST(incrimination("a").m_crashes == 3U);
}

BOOST_AUTO_TEST_CASE(a_crash_after_the_service_has_made_progress_is_another_outage)
{
    crash("e1", m_now, {"a"});
    m_now += Milliseconds(2500);
    crash("e2", m_now, {"a"});
    BOOST_TEST(outages("a") == 2U);
}

// Endpoints that run alone crash every half second.
BOOST_AUTO_TEST_CASE(crashes_that_go_on_are_several_outages)
{
    for (int number = 0; number < 8; ++number) {
        crash("e" + std::to_string(number), m_now, {"a"});
        m_now += Milliseconds(500);
    }
    BOOST_TEST(outages("a") >= 2U);
}

BOOST_AUTO_TEST_CASE(old_crashes_are_forgotten)
{
    crash("e1", m_now, {"a"});
    m_evidence.removeExpired(m_now + std::chrono::minutes(31));
    BOOST_TEST(!m_evidence.isSuspect(part("a")));
    BOOST_TEST(outages("a") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
