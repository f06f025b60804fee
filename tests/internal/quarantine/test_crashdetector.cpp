#include <burdockhead/quarantine/crashdetector.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

const GroupName service("llm");
const EndpointRun endpoint = {EndpointName("e1"), 5};
const EndpointRun nextRun = {EndpointName("e1"), 6};

struct Fixture
{
    void breakRequest(const std::string &part)
    {
        m_detector.recordBroken(endpoint, service, makePromptParts(service, {part}), TimePoint(),
                                m_now);
    }

    CrashDetector m_detector;
    TimePoint m_now = TimePoint(Seconds(100));
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashDetectorTest, Fixture)

BOOST_AUTO_TEST_CASE(the_parts_of_all_broken_requests_are_suspects_once_the_endpoint_is_gone)
{
    breakRequest("a");
    breakRequest("b");
    const auto report = m_detector.recordGone(endpoint, m_now + Milliseconds(1500));
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST((report->m_suspects == std::set<std::string>{"a", "b"}));
    BOOST_TEST((report->m_crashedAt == m_now));
    BOOST_TEST(!m_detector.recordGone(endpoint, m_now + Milliseconds(1600)).has_value());
}

// The other ranks of a group cut their streams too, and refuse further requests.
BOOST_AUTO_TEST_CASE(an_endpoint_that_responds_after_it_cut_its_connections_has_not_crashed)
{
    breakRequest("a");
    m_detector.recordAlive(endpoint.m_name, m_now + Milliseconds(1));
    BOOST_TEST(!m_detector.recordGone(endpoint, m_now + Seconds(2)).has_value());
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_responds_after_a_restart_has_crashed)
{
    breakRequest("a");
    m_detector.recordAlive(endpoint.m_name, m_now + Seconds(3));
    BOOST_TEST(m_detector.recordGone(endpoint, m_now + Seconds(4)).has_value());
}

BOOST_AUTO_TEST_CASE(the_end_of_another_run_confirms_nothing)
{
    breakRequest("a");
    BOOST_TEST(!m_detector.recordGone(nextRun, m_now + Seconds(1)).has_value());
    BOOST_TEST(m_detector.recordGone({endpoint.m_name, 0}, m_now + Seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(connections_that_broke_long_before_do_not_count)
{
    breakRequest("a");
    BOOST_TEST(!m_detector.recordGone(endpoint, m_now + Seconds(11)).has_value());
    breakRequest("a");
    m_now += Seconds(1);
    breakRequest("b");
    const auto report = m_detector.recordGone(endpoint, m_now);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST((report->m_suspects == std::set<std::string>{"b"}));
}

BOOST_AUTO_TEST_SUITE_END()
