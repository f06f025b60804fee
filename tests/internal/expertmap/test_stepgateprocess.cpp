#include "childprocess.h"
#include <burdockhead/expertmap/expertmapagent.h>
#include <burdockhead/expertmap/httpstepengine.h>
#include <burdockhead/expertmap/mapchangecoordinator.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <freeport.h>
#include <memory>
#include <thread>

using namespace burdockhead;

namespace {

constexpr std::uint32_t rankCount = 3;
constexpr std::uint64_t changeCount = 6;
constexpr int maxRounds = 1500; // Prevents a hanging test only.
constexpr Milliseconds pollInterval(20);

// Agents of the ranks of a stand-in engine process.
class Group
{
public:
    Group()
    {
        for (std::uint32_t rank = 0; rank < rankCount; ++rank)
            m_addresses.push_back(freeLoopbackAddress());
        std::string list;
        for (const SocketAddress &address : m_addresses)
            list += (list.empty() ? "" : ",") + address.toString();
        m_process = std::make_unique<ChildProcess>(
            STANDIN_ENGINE, std::vector<std::string>{"--listen", list, "--token-us", "500"});
        for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
            m_engines.push_back(std::make_unique<HttpStepEngine>(m_client, url(rank), Seconds(2)));
            m_agents.push_back(nullptr);
            restartAgent(rank);
        }
    }

    std::string url(std::uint32_t rank) const { return "http://" + m_addresses[rank].toString(); }

    void restartAgent(std::uint32_t rank)
    {
        m_agents[rank] = std::make_unique<ExpertMapAgent>(rank, rankCount, *m_engines[rank]);
    }

    std::string call(std::uint32_t rank, const std::string &path, const std::string &body)
    {
        HttpClientCall call;
        call.m_method = body.empty() ? "GET" : "POST";
        call.m_url = url(rank) + path;
        call.m_body = body;
        call.m_deadline = Clock::now() + Seconds(5);
        Failure failure;
        const auto response = m_client.callAndWait(call, failure);
        return response ? response->m_body : "";
    }

    bool waitUntilReady()
    {
        for (int round = 0; round < maxRounds; ++round) {
            if (m_engines.back()->read())
                return true;
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

    // Delivers the messages to the agents and returns the replies.
    std::vector<MapChangeMessage> deliver(const std::vector<RankMessage> &messages)
    {
        std::vector<MapChangeMessage> replies;
        for (const RankMessage &message : messages) {
            const std::string bytes = encodeMapChangeMessage(message.m_message);
            const std::string reply = m_agents[message.m_rank]->handleBytes(bytes, Clock::now());
            if (const auto decoded = decodeMapChangeMessage(reply); !reply.empty() && decoded)
                replies.push_back(*decoded);
        }
        return replies;
    }

    void tickAgents()
    {
        for (const auto &agent : m_agents) {
            for (const MapChangeMessage &reply : deliver(agent->tick(Clock::now())))
                agent->handleMessage(reply, Clock::now());
        }
    }

    bool hasNoPendingPromise()
    {
        for (const auto &engine : m_engines) {
            const auto state = engine->read();
            if (!state || state->m_record.m_promisedChange)
                return false;
        }
        return true;
    }

    std::uint64_t liveVersion(std::uint32_t rank)
    {
        const auto state = m_engines[rank]->read();
        return state ? state->m_record.m_committedChange.m_version : 0;
    }

private:
    std::vector<SocketAddress> m_addresses;
    HttpClient m_client;
    std::unique_ptr<ChildProcess> m_process;
    std::vector<std::unique_ptr<HttpStepEngine>> m_engines;
    std::vector<std::unique_ptr<ExpertMapAgent>> m_agents;
};

// Runs a change; if isAbandoned is set, the coordinator stops after requesting promises. Returns
// true if the change went live or was abandoned.
bool runChange(Group &group, std::uint64_t fence, bool isAbandoned)
{
    MapChangeOptions options;
    options.m_marginSteps = 100;
    Random random(fence);
    MapChangeCoordinator coordinator(fence, rankCount, ExpertMap::roundRobin(2, 8, rankCount, 4),
                                     options);
    for (int round = 0; round < maxRounds; ++round) {
        const auto messages = coordinator.tick(Clock::now(), random);
        const auto replies = group.deliver(messages);
        if (isAbandoned && coordinator.state() == MapChangeState::CollectingVotes)
            return true;
        for (const MapChangeMessage &reply : replies)
            coordinator.onReply(reply, Clock::now());
        group.tickAgents();
        if (coordinator.state() == MapChangeState::Committed)
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

// Ticks the agents until no outcome is pending; returns true if all ranks then use the same map.
bool allAgree(Group &group)
{
    for (int round = 0; round < maxRounds; ++round) {
        group.tickAgents();
        if (group.hasNoPendingPromise()) {
            for (std::uint32_t rank = 1; rank < rankCount; ++rank) {
                if (group.liveVersion(rank) != group.liveVersion(0))
                    return false;
            }
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

// Returns the engine's step log once its last step uses the version.
nlohmann::json stepLogUpTo(Group &group, std::uint64_t version)
{
    for (int round = 0; round < maxRounds; ++round) {
        const auto log = nlohmann::json::parse(group.call(0, "/step-log?after=0", ""));
        if (!log["steps"].empty() && log["steps"].back()["versions"].front() == version)
            return log["steps"];
        std::this_thread::sleep_for(pollInterval);
    }
    return nlohmann::json::array();
}

} // namespace

BOOST_AUTO_TEST_SUITE(StepGateProcess)

BOOST_AUTO_TEST_CASE(ranks_of_a_running_engine_use_one_map_in_every_step)
{
    Group group;
    BOOST_REQUIRE(group.waitUntilReady());
    for (std::uint64_t change = 1; change <= changeCount; ++change) {
        group.call(change % rankCount, "/faults", R"({"stall_ms":100})");
        BOOST_REQUIRE(runChange(group, change, change % 2 == 0));
        group.restartAgent(change % rankCount);
        BOOST_REQUIRE(allAgree(group));
        BOOST_TEST_MESSAGE("change " << change << ": version " << group.liveVersion(0));
    }
    const std::uint64_t expected = group.liveVersion(0);
    BOOST_TEST(expected >= changeCount / 2); // At least the changes that were not abandoned.
    const auto steps = stepLogUpTo(group, expected);
    std::uint64_t last = 0;
    for (const auto &step : steps) {
        const auto versions = step["versions"].get<std::vector<std::uint64_t>>();
        BOOST_TEST(versions == std::vector<std::uint64_t>(rankCount, versions.front()));
        BOOST_TEST(versions.front() >= last);
        last = versions.front();
    }
    BOOST_TEST(last == expected);
}

BOOST_AUTO_TEST_SUITE_END()
