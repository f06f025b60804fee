#include "testconfiguration.h"
#include <burdockhead/membership/membershipnode.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace burdockhead;

namespace {

constexpr Milliseconds tickPeriod(25);

// Two entries in each of three data centres and an agent in the second one, whose messages arrive
// at once. Can lose all records that entries would pass on.
class Nodes
{
public:
    Nodes()
    {
        for (const char *name : {"a1", "a2", "b1", "b2", "c1", "c2"})
            start(name, VmRole::Entry);
    }

    void startAgent() { start("b-agent", VmRole::Endpoint); }

    void setLosesGossip(bool losesGossip) { m_losesGossip = losesGossip; }

    void run(Milliseconds span)
    {
        for (const TimePoint end = m_now + span; m_now < end; m_now += tickPeriod) {
            for (const auto &[name, node] : m_nodes) {
                if (node->shouldWatchPlatform(m_now))
                    node->onPlatformRead({true, m_configuration}, node->heldVersion(), m_now,
                                         m_now);
                node->tick(m_now, m_random);
                deliverFrom(*node);
            }
        }
    }

    // Returns the entries that know the agent.
    std::vector<std::string> entriesWithAgent() const
    {
        std::vector<std::string> names;
        for (const auto &[name, node] : m_nodes) {
            if (!name.text().ends_with("agent") && !node->table().members(VmRole::Endpoint).empty())
                names.push_back(name.text());
        }
        return names;
    }

private:
    void start(const std::string &name, VmRole role)
    {
        MemberRecord self;
        self.m_name = ProcessName(name);
        self.m_role = role;
        self.m_dataCentre = DataCentreName(name.substr(0, 1));
        self.m_controlAddress = {name, 1};
        self.m_incarnation = Incarnation{m_nodes.size() + 1};
        if (role == VmRole::Entry)
            m_vms.push_back({self.m_name, role, self.m_dataCentre, self.m_controlAddress, false});
        m_nodes[self.m_name] = std::make_unique<MembershipNode>(
            MembershipNodeOptions{self, parseTestConfiguration, {}, {}});
        for (const auto &[other, node] : m_nodes)
            node->onVmList(m_vms);
    }

    void deliverFrom(MembershipNode &sender)
    {
        for (const OutgoingMessage &message : sender.takeOutgoing()) {
            MembershipNode &receiver = *m_nodes.at(message.m_peer);
            const std::string reply =
                receiver.handleMessage(message.m_type, message.m_payload, m_now);
            sender.onReply(message, reply, m_now);
            if (!m_losesGossip)
                continue;
            for (MembershipNode *node : {&sender, &receiver}) {
                while (!node->table().takeGossip(1).empty())
                    continue;
            }
        }
    }

    std::map<ProcessName, std::unique_ptr<MembershipNode>> m_nodes;
    std::vector<Vm> m_vms;
    const PlatformObject m_configuration{"configuration", "current", 1, "a b c"};
    TimePoint m_now{Seconds(100)};
    Random m_random{1};
    bool m_losesGossip = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipNodes)

// Entries of one data centre that all lack the record agree with one another in every other
// exchange.
BOOST_AUTO_TEST_CASE(an_agent_whose_announcement_was_lost_becomes_known_to_all_entries)
{
    Nodes nodes;
    nodes.run(Seconds(10));
    nodes.setLosesGossip(true);
    nodes.startAgent();
    nodes.run(Seconds(1));
    nodes.setLosesGossip(false);
    BOOST_TEST(!nodes.entriesWithAgent().empty());
    BOOST_REQUIRE(nodes.entriesWithAgent().size() < 6U);
    nodes.run(Seconds(10));
    BOOST_TEST(nodes.entriesWithAgent().size() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()
