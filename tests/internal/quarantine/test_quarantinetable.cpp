#include <burdockhead/quarantine/quarantinetable.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

const PromptPart part = {GroupName("llm"), "bad"};
const ProcessName first("g1");
const ProcessName second("g2");
const TimePoint now = TimePoint(Seconds(100));

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineTableTest)

BOOST_AUTO_TEST_CASE(each_further_quarantine_in_a_row_lasts_twenty_times_as_long)
{
    QuarantineTable table;
    const auto delay = [&] { return table.impose(part, 1, first, now).m_probeAt - now; };
    const Duration firstDelay = delay();
    BOOST_TEST((delay() == 20 * firstDelay));
    BOOST_TEST((delay() == 400 * firstDelay));
    for (int count = 0; count < 10; ++count)
        BOOST_TEST((delay() <= std::chrono::hours(24)));
}

BOOST_AUTO_TEST_CASE(a_quarantine_that_was_lifted_starts_over)
{
    QuarantineTable table;
    const Duration firstDelay = table.impose(part, 2, first, now).m_probeAt - now;
    table.impose(part, 1, first, now);
    BOOST_TEST(table.lift(part, first, now).has_value());
    BOOST_TEST(table.findActive(part) == nullptr);
    BOOST_TEST((table.impose(part, 2, first, now).m_probeAt - now == firstDelay));
}

BOOST_AUTO_TEST_CASE(the_latest_change_is_in_force_at_all_gateways)
{
    QuarantineTable here;
    QuarantineTable there;
    const auto imposed = here.impose(part, 2, first, now);
    BOOST_TEST(there.merge(imposed));
    BOOST_TEST(!there.merge(imposed));
    const auto lifted = there.lift(part, second, now);
    BOOST_TEST(here.merge(lifted.value()));
    BOOST_TEST(here.findActive(part) == nullptr);
    // News of the quarantine that comes late changes nothing.
    BOOST_TEST(!here.merge(imposed));
}

BOOST_AUTO_TEST_CASE(of_two_changes_made_at_a_time_the_quarantine_is_in_force)
{
    QuarantineTable here;
    here.impose(part, 2, first, now);
    QuarantineTable there;
    there.merge(here.entries().at(part));
    const auto imposed = here.impose(part, 1, first, now);
    const auto lifted = there.lift(part, second, now);
    here.merge(lifted.value());
    there.merge(imposed);
    BOOST_TEST(here.findActive(part) != nullptr);
    BOOST_TEST(there.findActive(part) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
