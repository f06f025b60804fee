#include "commandrun.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace burdockhead;

namespace {

const char *const gatewayLogs =
    "time=1000000 process=g1 event=ready config=3\n"
    "time=1000200 process=g1 event=ended request=r1 outcome=served age_ms=0 queued_ms=0"
    " first_event_ms=90 pause_ms=40 elapsed_ms=200\n"
    "time=1001900 process=g1 event=ended request=r2 outcome=served age_ms=0 queued_ms=700"
    " first_event_ms=90 pause_ms=40 elapsed_ms=900\n"
    "time=1001950 process=g2 event=ended request=r3 outcome=served age_ms=0 queued_ms=0"
    " first_event_ms=90 pause_ms=140 elapsed_ms=900\n"
    "time=1001960 process=g2 event=ended request=r4 outcome=served age_ms=2000 queued_ms=300"
    " first_event_ms=90 pause_ms=40 elapsed_ms=900\n"
    "time=1001970 process=s1 event=map_in_use group=m version=7 step=20\n"
    "time=1001990 process=g2 event=ended request=r5 outcome=refused elapsed_ms=10\n"
    "time=1001991 process=g2 event=ended request=r6 outcome=invalid_credential elapsed_ms=0\n"
    "time=1001992 process=g2 event=ended request=r7 outcome=outcome_unknown elapsed_ms=0\n";

// Returns the words of the line that begins with a label.
std::vector<std::string> lineOf(const std::string &table, const std::string &label)
{
    std::istringstream lines(table);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream words(line);
        std::vector<std::string> found;
        for (std::string word; words >> word;)
            found.push_back(word);
        if (!found.empty() && found.front() == label)
            return found;
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Summary)

BOOST_AUTO_TEST_CASE(requests_are_counted_by_second_of_arrival_and_by_what_made_them_late)
{
    const ScopedFile log(gatewayLogs);
    const CommandRun run = runProgram({"summary", log.name()});
    BOOST_TEST(run.m_status == 0);
    const std::vector<std::string> first = {"0", "1", "0", "0", "0", "0",
                                            "0", "0", "0", "0", "0", "0"};
    const std::vector<std::string> second = {"1", "0", "1", "1", "0",   "1",
                                             "1", "1", "0", "1", "166", "1"};
    BOOST_TEST(lineOf(run.m_out, "0") == first, run.m_out);
    BOOST_TEST(lineOf(run.m_out, "1") == second, run.m_out);
    BOOST_TEST(lineOf(run.m_out, "all").at(1) == "1");
}

BOOST_AUTO_TEST_CASE(other_objectives_can_be_given)
{
    const ScopedFile log(gatewayLogs);
    const CommandRun run =
        runProgram({"summary", "--first_event_ms=1000", "--pause_ms=200", log.name()});
    BOOST_TEST(lineOf(run.m_out, "all").at(1) == "3", run.m_out);
    BOOST_TEST(runProgram({"summary", "--pause_ms=0", log.name()}).m_status == ExitUsage);
}

BOOST_AUTO_TEST_CASE(the_chart_has_a_bar_for_each_outcome_of_a_second)
{
    const ScopedFile log(gatewayLogs);
    const std::string svg = runProgram({"summary", "--svg", log.name()}).m_out;
    BOOST_TEST(svg.starts_with("<svg"));
    constexpr std::size_t bars = 7;
    constexpr std::size_t legendEntries = 9;
    std::size_t rectangles = 0;
    for (std::size_t at = svg.find("<rect"); at != std::string::npos;
         at = svg.find("<rect", at + 1))
        ++rectangles;
    BOOST_TEST(rectangles == bars + legendEntries);
}

BOOST_AUTO_TEST_CASE(a_file_that_cannot_be_read_is_reported)
{
    BOOST_TEST(runProgram({"summary", "/nonexistent/log"}).m_status == ExitFailed);
}

BOOST_AUTO_TEST_SUITE_END()
