#include "commandrun.h"
#include <burdockhead/observe/linesink.h>
#include <burdockhead/observe/logrecord.h>

#include <boost/test/unit_test.hpp>

#include <fcntl.h>

using namespace burdockhead;

namespace {

const char *const gatewayLog =
    "time=1000 process=g1 event=store_lost collection=endpoints reason=timeout revision=37\n"
    "  1.5 g1 time=2000 process=g1 event=sent request=r1 endpoint=e1 attempt=1 in_flight=3\n"
    "time=2100 process=g1 event=endpoint_gone endpoint=e1\n"
    "time=2110 process=g1 event=endpoint_gone endpoint=e7\n"
    "time=2200 process=g1 event=retried request=r1 endpoint=e1 reason=\"connection broke\"\n"
    "time=2300 process=g1 event=ended request=r1 outcome=endpoint_failed status=502"
    " reason=\"malformed answer\" endpoint=e2 attempts=2\n"
    "a line of another program\n"
    "time=2400 process=g1 event=ended request=r2 outcome=served status=200\n";

} // namespace

BOOST_AUTO_TEST_SUITE(Explain)

BOOST_AUTO_TEST_CASE(a_request_is_traced_to_its_cause_with_other_events_of_its_processes)
{
    const ScopedFile log(gatewayLog);
    const CommandRun run = runProgram({"explain", "r1", log.name()});
    BOOST_TEST(run.m_status == 0);
    BOOST_TEST(run.m_out.find("0 ms  g1  sent  endpoint=e1") != std::string::npos);
    BOOST_TEST(run.m_out.find("200 ms  g1  retried") != std::string::npos);
    BOOST_TEST(run.m_out.find("store_lost") != std::string::npos);
    BOOST_TEST(run.m_out.find("endpoint_gone  endpoint=e1") != std::string::npos);
    BOOST_TEST(run.m_out.find("endpoint=e7") == std::string::npos);
    BOOST_TEST(run.m_out.find("cause: the endpoint answered with a failure, or no endpoint gave a "
                              "usable answer (malformed answer), last at endpoint e2")
               != std::string::npos);
}

// Long after the crashes, and at a gateway that has only heard of them.
BOOST_AUTO_TEST_CASE(a_request_with_a_quarantined_part_is_traced_to_the_crashes)
{
    const ScopedFile log(
        "time=1000 process=g1 event=endpoint_crashed endpoint=e1 suspects=a,bad,c\n"
        "time=1010 process=g2 event=endpoint_crashed endpoint=e1 suspects=badly\n"
        "time=6000 process=g2 event=endpoint_crashed endpoint=e4 suspects=bad\n"
        "time=6500 process=g2 event=part_quarantined part=bad decided_by=g2\n"
        "time=6500 process=g2 event=part_quarantined part=other decided_by=g2\n"
        "time=90000 process=g3 event=quarantine_refused request=r1 part=bad\n"
        "time=90001 process=g3 event=ended request=r1 outcome=prompt_quarantined status=503"
        " reason=bad endpoint=\"\"\n");
    const CommandRun run = runProgram({"explain", "r1", log.name()});
    BOOST_TEST(run.m_status == 0);
    for (const char *line :
         {"endpoint_crashed  endpoint=e1  suspects=a,bad,c", "endpoint_crashed  endpoint=e4",
          "part_quarantined  part=bad", "crashed on a part of its prompt (bad)"})
        BOOST_TEST(run.m_out.find(line) != std::string::npos);
    BOOST_TEST(run.m_out.find("badly") == std::string::npos);
    BOOST_TEST(run.m_out.find("other") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_without_log_records_is_reported)
{
    const ScopedFile log(gatewayLog);
    const CommandRun run = runProgram({"explain", "r9", log.name()});
    BOOST_TEST(run.m_status == 1);
    BOOST_TEST(run.m_out == "request r9: no line names it\n");
}

BOOST_AUTO_TEST_CASE(log_lines_are_parsed_back_unchanged)
{
    int pipeEnds[2] = {};
    BOOST_REQUIRE(pipe(pipeEnds) == 0);
    LineSink sink(pipeEnds[1], "g1", {});
    sink.add("ended", {{"request", "r 1"}, {"reason", "a \"b\" = c\\"}, {"empty", ""}});
    sink.flush();
    std::string line(1024, '\0');
    const ssize_t count = read(pipeEnds[0], line.data(), line.size());
    BOOST_REQUIRE(count > 0);
    line.resize(static_cast<std::size_t>(count) - 1);
    const auto record = readLogRecord(line);
    BOOST_REQUIRE(record.has_value());
    BOOST_TEST(record->m_event == "ended");
    BOOST_TEST(record->field("request") == "r 1");
    BOOST_TEST(record->field("reason") == "a \"b\" = c\\");
    BOOST_TEST(record->field("empty") == "");
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}

BOOST_AUTO_TEST_CASE(an_unread_output_does_not_block_and_dropped_lines_are_counted)
{
    int pipeEnds[2] = {};
    BOOST_REQUIRE(pipe(pipeEnds) == 0);
    LineSink sink(pipeEnds[1], "g1", {65536, 1000000});
    const TimePoint before = Clock::now();
    for (int line = 0; line < 20000; ++line) {
        sink.add("sent", {{"request", std::to_string(line)}});
        sink.flush();
    }
    BOOST_TEST((Clock::now() - before < Seconds(5)));
    BOOST_TEST(sink.droppedLines() > 0U);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}

BOOST_AUTO_TEST_CASE(only_events_above_their_rate_limit_are_dropped)
{
    int pipeEnds[2] = {};
    BOOST_REQUIRE(pipe(pipeEnds) == 0);
    LineSink sink(pipeEnds[1], "g1", {1 << 20, 10});
    for (int line = 0; line < 100; ++line)
        sink.add("sent", {});
    BOOST_TEST(sink.droppedLines() == 90U);
    sink.add("refused", {});
    BOOST_TEST(sink.droppedLines() == 90U);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}

BOOST_AUTO_TEST_SUITE_END()
