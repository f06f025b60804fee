#include "testconfiguration.h"
#include <burdockhead/membership/membershipservice.h>
#include <burdockhead/platform/httpobjectapi.h>

#include <boost/test/unit_test.hpp>

#include <freeport.h>
#include <platformstandin.h>
#include <thread>

using namespace burdockhead;

namespace {

constexpr Seconds maxWait(30);

// Waits until a condition holds; the time it takes is not tested.
template <typename Condition>
bool waitUntil(Condition condition)
{
    const TimePoint deadline = Clock::now() + maxWait;
    while (Clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return false;
}

// Three data centres with two entries each, and a platform stand-in.
struct Deployment
{
    SocketAddress m_platformAddress = freeLoopbackAddress();
    PlatformStandIn m_platform{m_platformAddress};
    std::shared_ptr<ObjectApi> m_api = std::make_shared<HttpObjectApi>(
        std::vector<std::string>{"http://" + m_platformAddress.toString()});
    std::vector<Vm> m_vms;
    std::vector<std::unique_ptr<MembershipService>> m_entries;
    std::uint64_t m_incarnation = 1;

    Deployment()
    {
        BOOST_REQUIRE(m_platform.start());
        const PlatformObject object{"configuration", "current", 0, "a b c"};
        BOOST_REQUIRE(
            (m_api->write(object, Clock::now() + Seconds(5)).m_result == WriteResult::Applied));
        for (const char *dataCentre : {"a", "b", "c"}) {
            for (const char *number : {"1", "2"})
                m_vms.push_back({ProcessName(std::string(dataCentre) + number), VmRole::Entry,
                                 DataCentreName(dataCentre), freeLoopbackAddress(), false});
        }
        for (const Vm &vm : m_vms)
            m_entries.push_back(startEntry(vm));
    }

    MembershipOptions optionsFor(const Vm &vm)
    {
        MembershipOptions options;
        options.m_name = vm.m_name;
        options.m_role = vm.m_role;
        options.m_dataCentre = vm.m_dataCentre;
        options.m_controlAddress = vm.m_control;
        options.m_incarnation = Incarnation{m_incarnation++};
        options.m_platform = m_api;
        options.m_seeds = m_vms;
        options.m_parser = parseTestConfiguration;
        return options;
    }

    std::unique_ptr<MembershipService> startEntry(const Vm &vm)
    {
        auto service = std::make_unique<MembershipService>(optionsFor(vm));
        service->registerHandler(20, [](const std::string &payload) { return payload + "!"; });
        Failure failure;
        BOOST_REQUIRE_MESSAGE(service->start(failure), failure.m_reason);
        return service;
    }

    bool allCurrentWith(std::uint64_t version)
    {
        for (const auto &entry : m_entries) {
            if (!entry->isCurrent() || entry->configuration()->m_version < version)
                return false;
        }
        return true;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipServices)

BOOST_AUTO_TEST_CASE(an_accepted_change_reaches_all_entries_and_one_restarted_without_the_platform)
{
    Deployment deployment;
    BOOST_REQUIRE(waitUntil([&] { return deployment.allCurrentWith(1); }));
    BOOST_TEST(waitUntil([&] { return deployment.m_entries[0]->entries().size() == 6; }));
    const ApplyResult result =
        deployment.m_entries[0]->apply(1, "a !b c", "change-1", Clock::now() + maxWait);
    BOOST_TEST((result.m_outcome == ApplyOutcome::Accepted), result.m_reason);
    BOOST_TEST(waitUntil([&] { return deployment.allCurrentWith(2); }));
    BOOST_TEST(
        deployment.m_entries[5]->configuration()->m_configuration.isTakenOut(DataCentreName("b")));
    const ApplyResult conflicting =
        deployment.m_entries[1]->apply(1, "a b !c", "change-2", Clock::now() + maxWait);
    BOOST_TEST((conflicting.m_outcome == ApplyOutcome::Conflict));
    BOOST_TEST(conflicting.m_text == "a !b c");

    deployment.m_platform.setDown(true);
    deployment.m_entries[3].reset();
    deployment.m_entries[3] = deployment.startEntry(deployment.m_vms[3]);
    BOOST_TEST(waitUntil([&] { return deployment.allCurrentWith(2); }));
    const ApplyResult refused =
        deployment.m_entries[0]->apply(2, "a b c", "change-3", Clock::now() + Seconds(5));
    BOOST_TEST((refused.m_outcome == ApplyOutcome::PlatformUnavailable));
}

BOOST_AUTO_TEST_CASE(an_agent_is_announced_and_removed_after_it_stops)
{
    Deployment deployment;
    Vm vm{ProcessName("agent"), VmRole::Endpoint, DataCentreName("b"), freeLoopbackAddress(),
          false};
    MembershipOptions options = deployment.optionsFor(vm);
    options.m_announcement =
        ReplicaAnnouncement{EndpointName("rank"), vm.m_dataCentre, freeLoopbackAddress(),
                            options.m_incarnation, ReplicaState::Alive};
    auto agent = std::make_unique<MembershipService>(options);
    Failure failure;
    BOOST_REQUIRE(agent->start(failure));
    BOOST_TEST(waitUntil([&] { return agent->isCurrent(); }));
    const auto stateIs = [&](ReplicaState state) {
        const auto known = deployment.m_entries[0]->announcements();
        return known.size() == 1 && known[0].m_state == state
               && known[0].m_linkAddress == options.m_announcement->m_linkAddress;
    };
    BOOST_TEST(waitUntil([&] { return stateIs(ReplicaState::Alive); }));
    agent->setLeaving();
    BOOST_TEST(waitUntil([&] { return stateIs(ReplicaState::Leaving); }));
    agent.reset();
    BOOST_TEST(waitUntil([&] { return deployment.m_entries[0]->announcements().empty(); }));
}

BOOST_AUTO_TEST_CASE(registered_handlers_reply_and_unknown_types_or_peers_fail)
{
    Deployment deployment;
    Failure failure;
    const auto reply = deployment.m_entries[0]->call(deployment.m_vms[4].m_control, 20, "hello",
                                                     Clock::now() + maxWait, failure);
    BOOST_TEST((reply == std::optional<std::string>("hello!")));
    const auto unknown = deployment.m_entries[0]->call(deployment.m_vms[4].m_control, 21, "hello",
                                                       Clock::now() + maxWait, failure);
    BOOST_TEST(!unknown.has_value());
    BOOST_TEST((failure.m_kind == ErrorKind::PeerUnreachable));
    const auto unreachable = deployment.m_entries[0]->call(
        freeLoopbackAddress(), 20, "hello", Clock::now() + Milliseconds(300), failure);
    BOOST_TEST(!unreachable.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
