#include "callerload.h"
#include "waiting.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace burdockhead;

namespace {

double versionAt(Deployment &deployment, const std::string &name)
{
    return deployment.metric(name, "burdockhead_configuration_version");
}

bool allHaveVersion(Deployment &deployment, double version)
{
    for (const char *prefix : {"entry-", "agent-"}) {
        for (const std::string &name : deployment.names(prefix)) {
            if (versionAt(deployment, name) < version)
                return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationProcesses)

BOOST_AUTO_TEST_CASE(a_change_is_in_force_in_every_process_and_survives_restarts_in_an_outage)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    BOOST_REQUIRE(deployment.setTakenOut("entry-dc-a-0", "dc-c", true));
    BOOST_TEST(waitUntil([&] { return allHaveVersion(deployment, 2); }));

    deployment.post("platform", "/faults", {{"down", true}});
    for (const char *name : {"entry-dc-b-0", "agent-engine-dc-a-0"}) {
        deployment.child(name).kill();
        deployment.restart(name);
        BOOST_TEST(waitUntil([&] { return versionAt(deployment, name) == 2; }), name);
    }
    // Service goes on without the platform, from the restarted entry too.
    const bool served = waitUntil([&] {
        const auto answer = deployment.chat("entry-dc-b-0", "during the outage", 10);
        return answer && streamedTokens(answer->m_body).size() == 10;
    });
    BOOST_TEST(served);
    BOOST_TEST(!deployment.setTakenOut("entry-dc-a-0", "dc-b", true));

    deployment.post("platform", "/faults", {{"down", false}});
    BOOST_TEST(waitUntil([&] { return deployment.setTakenOut("entry-dc-a-0", "dc-c", false); }));
    BOOST_TEST(waitUntil([&] { return allHaveVersion(deployment, 3); }));
}

BOOST_AUTO_TEST_CASE(of_two_operators_that_race_one_wins_and_the_other_is_told)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    const auto change = [&](const std::string &entry, const std::string &dataCentre) {
        return std::async(std::launch::async, [&deployment, entry, dataCentre] {
            const auto applied =
                deployment.call(deployment.process(entry).m_operators, "PUT", "/configuration",
                                deployment.configurationText(dataCentre), {{"If-Match", "1"}});
            return applied ? applied->m_status : 0;
        });
    };
    auto first = change("entry-dc-a-0", "dc-a");
    auto second = change("entry-dc-b-0", "dc-b");
    const std::vector<int> statuses = {first.get(), second.get()};
    BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200) == 1);
    BOOST_TEST(std::count(statuses.begin(), statuses.end(), 409) == 1);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_to_a_change_is_read_back_and_not_sent_again_blindly)
{
    Deployment deployment({});
    BOOST_REQUIRE(deployment.start());
    deployment.post("platform", "/faults", {{"lose_answer_next", 1}});
    BOOST_TEST(deployment.setTakenOut("entry-dc-a-0", "dc-b", true));
    BOOST_TEST(waitUntil([&] { return allHaveVersion(deployment, 2); }));
    BOOST_TEST(versionAt(deployment, "entry-dc-c-0") == 2);
}

BOOST_AUTO_TEST_SUITE_END()
