#include "deployment.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>
#include <thread>

using namespace burdockhead;

namespace {

// How often the service recorded a run of the key, over all its replicas.
std::uint64_t runsOf(Deployment &deployment, const std::string &key)
{
    std::uint64_t runs = 0;
    for (const std::string &service : deployment.names("service-")) {
        const auto byKey = deployment.page(service, "/runs")["by_key"];
        runs += byKey.value(key, std::uint64_t(0));
    }
    return runs;
}

std::string errorField(const HttpResponse &response, const char *field)
{
    const auto body = nlohmann::json::parse(response.m_body, nullptr, false);
    return body.is_object() && body.contains("error") ? body["error"].value(field, "") : "";
}

// The agent of the service that has recorded a run of the key.
std::string agentThatRan(Deployment &deployment, const std::string &key)
{
    for (const std::string &service : deployment.names("service-")) {
        if (deployment.page(service, "/runs")["by_key"].contains(key))
            return "agent-" + service;
    }
    return "";
}

void slowServices(Deployment &deployment, unsigned milliseconds)
{
    for (const std::string &service : deployment.names("service-"))
        deployment.post(service, "/faults", {{"slow_ms", milliseconds}});
}

} // namespace

BOOST_AUTO_TEST_SUITE(AtMostOnceProcesses)

BOOST_AUTO_TEST_CASE(a_caller_that_repeats_through_every_entry_gets_the_first_answer_and_one_run)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    slowServices(deployment, 300);
    std::vector<std::future<std::optional<HttpResponse>>> answers;
    for (int round = 0; round < 4; ++round) {
        for (const std::string &entry : deployment.names("entry-"))
            answers.push_back(std::async(std::launch::async, [&deployment, entry] {
                return deployment.signOff(entry, "same-key", "approve 7");
            }));
    }
    std::string first;
    for (auto &answer : answers) {
        const auto response = answer.get();
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response->m_status == 200);
        if (first.empty())
            first = response->m_body;
        BOOST_TEST(response->m_body == first);
    }
    BOOST_TEST(runsOf(deployment, "same-key") == 1U);
}

BOOST_AUTO_TEST_CASE(an_entry_killed_in_the_middle_leaves_one_run_that_another_entry_answers)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    slowServices(deployment, 1000);
    auto lost = std::async(std::launch::async, [&] {
        return deployment.signOff("entry-dc-a-0", "key-entry", "approve 8");
    });
    while (agentThatRan(deployment, "key-entry").empty())
        std::this_thread::sleep_for(Milliseconds(10));
    deployment.child("entry-dc-a-0").kill();
    BOOST_TEST(!lost.get().has_value());
    const auto answer = deployment.signOff("entry-dc-b-0", "key-entry", "approve 8");
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->m_status == 200);
    BOOST_TEST(runsOf(deployment, "key-entry") == 1U);
}

BOOST_AUTO_TEST_CASE(an_agent_killed_in_the_middle_makes_the_outcome_unknown_and_never_runs_twice)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    slowServices(deployment, 1500);
    auto pending = std::async(std::launch::async, [&] {
        return deployment.signOff("entry-dc-a-0", "key-agent", "approve 9");
    });
    while (agentThatRan(deployment, "key-agent").empty())
        std::this_thread::sleep_for(Milliseconds(10));
    const std::string agent = agentThatRan(deployment, "key-agent");
    deployment.child(agent).kill();
    deployment.restart(agent);
    const auto answer = pending.get();
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(errorField(*answer, "kind") == "outcome_unknown");
    BOOST_TEST(errorField(*answer, "run_state") == "unknown");
    for (const std::string &entry : deployment.names("entry-")) {
        const auto again = deployment.signOff(entry, "key-agent", "approve 9");
        BOOST_REQUIRE(again.has_value());
        BOOST_TEST(errorField(*again, "run_state") == "unknown");
    }
    BOOST_TEST(runsOf(deployment, "key-agent") == 1U);
}

BOOST_AUTO_TEST_CASE(a_paused_agent_that_wakes_up_runs_nothing_twice)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    slowServices(deployment, 500);
    auto pending = std::async(std::launch::async, [&] {
        return deployment.signOff("entry-dc-a-0", "key-pause", "approve 10");
    });
    while (agentThatRan(deployment, "key-pause").empty())
        std::this_thread::sleep_for(Milliseconds(10));
    const std::string agent = agentThatRan(deployment, "key-pause");
    deployment.child(agent).signal(SIGSTOP);
    auto second = std::async(std::launch::async, [&] {
        return deployment.signOff("entry-dc-b-0", "key-pause", "approve 10");
    });
    std::this_thread::sleep_for(Seconds(2));
    deployment.child(agent).signal(SIGCONT);
    const auto first = pending.get();
    const auto again = second.get();
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(runsOf(deployment, "key-pause") == 1U);
    const auto last = deployment.signOff("entry-dc-c-0", "key-pause", "approve 10");
    BOOST_REQUIRE(last.has_value());
    BOOST_TEST(last->m_status == 200);
    BOOST_TEST(runsOf(deployment, "key-pause") == 1U);
}

BOOST_AUTO_TEST_CASE(an_answer_that_the_service_loses_is_called_unknown_and_not_asked_for_again)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    for (const std::string &service : deployment.names("service-"))
        deployment.post(service, "/faults", {{"drop_answer_next", 1}});
    const auto answer = deployment.signOff("entry-dc-a-0", "key-lost", "approve 11");
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(runsOf(deployment, "key-lost") == 1U);
    deployment.signOff("entry-dc-b-0", "key-lost", "approve 11");
    BOOST_TEST(runsOf(deployment, "key-lost") == 1U);
}

BOOST_AUTO_TEST_CASE(an_answer_that_the_platform_loses_after_binding_a_key_costs_no_second_run)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    deployment.post("platform", "/faults", {{"lose_answer_next", 2}});
    const auto answer = deployment.signOff("entry-dc-a-0", "key-platform", "approve 12");
    BOOST_REQUIRE(answer.has_value());
    const auto again = deployment.signOff("entry-dc-b-0", "key-platform", "approve 12");
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->m_status == 200);
    BOOST_TEST(runsOf(deployment, "key-platform") == 1U);
}

// The entry that bound the key writes it again; until then another one must not bind it anew.
BOOST_AUTO_TEST_CASE(a_key_that_the_platform_has_lost_in_a_restore_runs_once)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    deployment.post("platform", "/faults", {{"take_copy", true}});
    const auto answer = deployment.signOff("entry-dc-a-0", "key-restore", "approve 15");
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->m_status == 200);
    deployment.post("platform", "/faults", {{"restore_copy", true}});
    for (const std::string entry : {"entry-dc-b-0", "entry-dc-c-0"}) {
        std::optional<HttpResponse> again;
        // An entry refuses for three seconds after it has noticed the restore.
        for (int count = 0; count < 20 && (!again || again->m_status != 200); ++count) {
            again = deployment.signOff(entry, "key-restore", "approve 15");
            BOOST_TEST(runsOf(deployment, "key-restore") == 1U);
            std::this_thread::sleep_for(Milliseconds(250));
        }
        BOOST_REQUIRE(again.has_value());
        BOOST_TEST(again->m_body == answer->m_body);
    }
}

BOOST_AUTO_TEST_CASE(a_ticket_works_through_an_outage_of_the_platform_and_a_key_says_not_run)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    deployment.post("platform", "/faults", {{"down", true}});
    const auto minted =
        deployment.call(deployment.process("entry-dc-a-0").m_main, "POST", "/v1/tickets", "",
                        {{"Burdockhead-Workspace", "library"}, {"Burdockhead-Kind", "sign-off"}});
    BOOST_REQUIRE(minted.has_value());
    BOOST_REQUIRE(minted->m_status == 200);
    const std::string ticket = nlohmann::json::parse(minted->m_body)["ticket"];
    const auto first = deployment.signOff("entry-dc-b-0", ticket, "approve 13");
    const auto again = deployment.signOff("entry-dc-c-0", ticket, "approve 13");
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(first->m_status == 200);
    BOOST_TEST(again->m_body == first->m_body);
    BOOST_TEST(runsOf(deployment, ticket) == 1U);
}

BOOST_AUTO_TEST_CASE(the_state_of_a_key_can_be_asked_for_without_running_anything)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    const auto stateOf = [&](const std::string &key) {
        const auto response =
            deployment.call(deployment.process("entry-dc-b-0").m_main, "GET", "/v1/keys/" + key, "",
                            {{"Burdockhead-Workspace", "library"}});
        return response ? nlohmann::json::parse(response->m_body).value("state", "") : "";
    };
    BOOST_TEST(stateOf("key-state") == "not_run");
    slowServices(deployment, 1500);
    auto pending = std::async(std::launch::async, [&] {
        return deployment.signOff("entry-dc-a-0", "key-state", "approve 14");
    });
    while (agentThatRan(deployment, "key-state").empty())
        std::this_thread::sleep_for(Milliseconds(10));
    BOOST_TEST(stateOf("key-state") == "running");
    pending.get();
    BOOST_TEST(stateOf("key-state") == "ran");
    BOOST_TEST(runsOf(deployment, "key-state") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
