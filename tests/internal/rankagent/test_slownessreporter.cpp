#include <burdockhead/rankagent/slownessreporter.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

const TimePoint start{Seconds(100)};
const SocketAddress engine{"10.0.0.7", 80};

} // namespace

BOOST_AUTO_TEST_SUITE(SlowRanks)

BOOST_AUTO_TEST_CASE(a_rank_that_turns_slow_is_reported_at_once_and_again_while_it_is)
{
    SlownessReporter reporter;
    reporter.record(3, engine, 1);
    BOOST_TEST(!reporter.nextReport(start).has_value());
    reporter.record(3, engine, 12);
    const SlownessReport report = {{{engine, 12}}, true};
    BOOST_TEST((reporter.nextReport(start) == report));
    BOOST_TEST(!reporter.nextReport(start + Milliseconds(900)).has_value());
    const SlownessReport repeated = {{{engine, 12}}, false};
    BOOST_TEST((reporter.nextReport(start + Milliseconds(1000)) == repeated));
}

BOOST_AUTO_TEST_CASE(the_end_of_a_rank_s_slowness_is_reported_once)
{
    SlownessReporter reporter;
    reporter.record(3, engine, 12);
    reporter.nextReport(start);
    reporter.record(3, engine, 1);
    const SlownessReport recovery = {{}, true};
    BOOST_TEST((reporter.nextReport(start) == recovery));
    BOOST_TEST(!reporter.nextReport(start + Seconds(5)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
