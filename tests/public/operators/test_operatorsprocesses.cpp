#include <burdockhead/observe/eventtext.h>

#include <boost/test/unit_test.hpp>

#include <commandrun.h>
#include <deployment.h>
#include <set>
#include <waiting.h>

using namespace burdockhead;

namespace {

// The operators' ports of all processes with that prefix, for a flag.
std::string operatorsPorts(Deployment &deployment, const std::string &prefix)
{
    std::string list;
    for (const std::string &name : deployment.names(prefix))
        list += (list.empty() ? "" : ",") + deployment.process(name).m_operators.toString();
    return list;
}

CommandRun runAgainst(Deployment &deployment, Arguments arguments)
{
    arguments.push_back("--entry=" + operatorsPorts(deployment, "entry-"));
    return runProgram(arguments);
}

// The time line of all processes, filtered.
CommandRun timelineOf(Deployment &deployment, Arguments flags)
{
    flags.insert(flags.begin(), "timeline");
    flags.push_back("--process=" + operatorsPorts(deployment, "agent-"));
    return runAgainst(deployment, flags);
}

// The first request that a retry has moved to another endpoint.
std::optional<RequestId> movedRequest(Deployment &deployment)
{
    const CommandRun run = timelineOf(deployment, {"--json", "--event=request_retried"});
    const auto events = eventsFromJsonLines(run.m_out);
    if (!events || events->empty())
        return std::nullopt;
    return events->front().m_subject.m_request;
}

// Where a text stands in another; a large number if nowhere.
std::size_t place(const std::string &text, const std::string &part, std::size_t from = 0)
{
    return text.find(part, from);
}

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorsProcesses)

BOOST_AUTO_TEST_CASE(the_time_line_explains_a_request_that_moved_from_a_dead_agent)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    std::optional<RequestId> moved;
    deployment.child("agent-engine-dc-a-0").kill();
    const bool isMoved = waitUntil([&] {
        const auto answer = deployment.chat("entry-dc-a-0", "a digest", 5);
        BOOST_TEST((answer && streamedTokens(answer->m_body).size() == 5));
        moved = movedRequest(deployment);
        return moved.has_value();
    });
    BOOST_REQUIRE(isMoved);
    const CommandRun story = timelineOf(deployment, {"--request=" + moved->toString()});
    BOOST_TEST(story.m_status == ExitOk);
    BOOST_TEST_MESSAGE(story.m_out << story.m_err);
    const std::size_t routed = place(story.m_out, "request_routed");
    const std::size_t retried = place(story.m_out, "request_retried", routed);
    const std::size_t completed = place(story.m_out, "request_completed", retried);
    BOOST_TEST(place(story.m_out, "request_received") < routed);
    BOOST_TEST(routed < retried);
    BOOST_TEST(place(story.m_out, "request_routed", retried) < completed);
    BOOST_TEST(completed != std::string::npos);
    const SocketAddress dead = deployment.process("agent-engine-dc-a-0").m_operators;
    BOOST_TEST((story.m_err.find(dead.toString()) != std::string::npos), story.m_err);
}

BOOST_AUTO_TEST_CASE(the_time_line_shows_a_data_centre_taken_out_in_every_process)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    const CommandRun out = runAgainst(deployment, {"take-out", "dc-c"});
    BOOST_TEST(out.m_status == ExitOk, out.m_out << out.m_err);
    BOOST_TEST(out.m_out
               == "Changes to version 1:\n  [data_centre dc-c] state: in -> out\n"
                  "Version 2 is in force.\n");
    const std::size_t processes =
        deployment.names("entry-").size() + deployment.names("agent-").size();
    const bool isShown = waitUntil([&] {
        const CommandRun run = timelineOf(deployment, {"--json", "--event=configuration_applied"});
        std::set<ProcessName> heard;
        for (const Event &event : eventsFromJsonLines(run.m_out).value())
            if (event.m_reason.ends_with("version 2"))
                heard.insert(event.m_process);
        return heard.size() == processes;
    });
    BOOST_TEST(isShown);
    const CommandRun story = timelineOf(deployment, {"--event=configuration_applied"});
    BOOST_TEST_MESSAGE(out.m_out << story.m_out << story.m_err);
    const CommandRun shown = runAgainst(deployment, {"show"});
    BOOST_TEST((shown.m_out.find("; version 2\n") == 0));
    const CommandRun back = runAgainst(deployment, {"bring-back", "dc-c"});
    BOOST_TEST(back.m_status == ExitOk, back.m_out << back.m_err);
}

BOOST_AUTO_TEST_SUITE_END()
