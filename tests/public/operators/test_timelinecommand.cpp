#include <burdockhead/observe/eventtext.h>

#include <boost/test/unit_test.hpp>

#include <commandrun.h>
#include <fakeentry.h>
#include <smallconfiguration.h>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(TimelineCommand)

BOOST_AUTO_TEST_CASE(events_of_all_processes_are_merged_and_unreachable_processes_are_listed)
{
    FakeEntry entry(smallConfiguration);
    FakeEntry other(smallConfiguration);
    const SocketAddress closed = freeLoopbackAddress();
    entry.addMember({ProcessName("e2"), other.address()});
    entry.addMember({ProcessName("e3"), closed});
    const EventSubject subject = {RequestId{0, 7}, WorkspaceName("w"), EndpointName("m0")};
    entry.events().record(EventType::RequestReceived, subject, "", 1000);
    other.events().record(EventType::RequestAdmitted, subject, "limit 4, running 1", 1001);
    entry.events().record(EventType::RequestCompleted, subject, "", 1002);
    entry.events().record(EventType::RequestReceived, {}, "", 1003);
    const CommandRun run =
        runProgram({"timeline", "--entry=" + entry.address().toString(), "--timeout_ms=5000",
                    "--request=00000000000000000000000000000007"});
    BOOST_TEST(run.m_status == ExitOk);
    const std::string subjectText = "  request=00000000000000000000000000000007  workspace=w  "
                                    "endpoint=m0";
    BOOST_TEST(run.m_out
               == "1970-01-01T00:00:01.000+0  e1  request_received" + subjectText
                      + "\n1970-01-01T00:00:01.001+0  e1  request_admitted" + subjectText
                      + "  limit 4, running 1\n1970-01-01T00:00:01.002+0  e1  request_completed"
                      + subjectText + "\n");
    BOOST_TEST(run.m_err.starts_with("not reached: e3 at " + closed.toString() + ": "));
    const CommandRun json = runProgram({"timeline", "--entry", entry.address().toString(), "--json",
                                        "--event", "request_received"});
    const auto events = eventsFromJsonLines(json.m_out);
    BOOST_REQUIRE(events.has_value());
    BOOST_TEST(events->size() == 2U, json.m_out << json.m_err);
}

BOOST_AUTO_TEST_SUITE_END()
