#include <burdockhead/observe/eventtext.h>

#include <boost/test/unit_test.hpp>

#include <commandrun.h>
#include <deployment.h>
#include <set>
#include <waiting.h>

using namespace burdockhead;

namespace {

// Returns the comma-separated operator addresses of all processes whose names have this prefix.
std::string operatorAddresses(Deployment &deployment, const std::string &prefix)
{
    std::string list;
    for (const std::string &name : deployment.names(prefix))
        list += (list.empty() ? "" : ",") + deployment.process(name).m_operators.toString();
    return list;
}

CommandRun runAgainst(Deployment &deployment, Arguments arguments)
{
    arguments.push_back("--entry=" + operatorAddresses(deployment, "entry-"));
    return runProgram(arguments);
}

// Runs the timeline command for all processes with additional flags.
CommandRun runTimeline(Deployment &deployment, Arguments flags)
{
    flags.insert(flags.begin(), "timeline");
    flags.push_back("--process=" + operatorAddresses(deployment, "agent-"));
    return runAgainst(deployment, flags);
}

// Returns the first request that was retried at another endpoint.
std::optional<RequestId> retriedRequest(Deployment &deployment)
{
    const CommandRun run = runTimeline(deployment, {"--json", "--event=request_retried"});
    const auto events = eventsFromJsonLines(run.m_out);
    if (!events || events->empty())
        return std::nullopt;
    return events->front().m_subject.m_request;
}

// Returns the position of a part in a text, or npos.
std::size_t positionOf(const std::string &text, const std::string &part, std::size_t from = 0)
{
    return text.find(part, from);
}

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorsProcesses)

BOOST_AUTO_TEST_CASE(the_timeline_shows_a_request_that_moved_from_a_dead_agent)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    std::optional<RequestId> retriedId;
    deployment.child("agent-engine-dc-a-0").kill();
    const bool isRetried = waitUntil([&] {
        const auto response = deployment.chat("entry-dc-a-0", "a digest", 5);
        BOOST_TEST((response && streamedTokens(response->m_body).size() == 5));
        retriedId = retriedRequest(deployment);
        return retriedId.has_value();
    });
    BOOST_REQUIRE(isRetried);
    const CommandRun timeline = runTimeline(deployment, {"--request=" + retriedId->toString()});
    BOOST_TEST(timeline.m_status == ExitOk);
    BOOST_TEST_MESSAGE(timeline.m_out << timeline.m_err);
    const std::size_t routed = positionOf(timeline.m_out, "request_routed");
    const std::size_t retried = positionOf(timeline.m_out, "request_retried", routed);
    const std::size_t completed = positionOf(timeline.m_out, "request_completed", retried);
    BOOST_TEST(positionOf(timeline.m_out, "request_received") < routed);
    BOOST_TEST(routed < retried);
    BOOST_TEST(positionOf(timeline.m_out, "request_routed", retried) < completed);
    BOOST_TEST(completed != std::string::npos);
    const SocketAddress deadAddress = deployment.process("agent-engine-dc-a-0").m_operators;
    BOOST_TEST((timeline.m_err.find(deadAddress.toString()) != std::string::npos), timeline.m_err);
}

BOOST_AUTO_TEST_CASE(the_timeline_shows_a_data_centre_taken_out_in_every_process)
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
        const CommandRun run = runTimeline(deployment, {"--json", "--event=configuration_applied"});
        const auto events = eventsFromJsonLines(run.m_out);
        std::set<ProcessName> appliedBy;
        for (const Event &event : events.value())
            if (event.m_reason.ends_with("version 2"))
                appliedBy.insert(event.m_process);
        return appliedBy.size() == processes;
    });
    BOOST_TEST(isShown);
    const CommandRun timeline = runTimeline(deployment, {"--event=configuration_applied"});
    BOOST_TEST_MESSAGE(out.m_out << timeline.m_out << timeline.m_err);
    const CommandRun shown = runAgainst(deployment, {"show"});
    BOOST_TEST((shown.m_out.find("; version 2\n") == 0));
    const CommandRun back = runAgainst(deployment, {"bring-back", "dc-c"});
    BOOST_TEST(back.m_status == ExitOk, back.m_out << back.m_err);
}

BOOST_AUTO_TEST_SUITE_END()
