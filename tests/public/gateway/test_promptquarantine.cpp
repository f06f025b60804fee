#include "gatewayfixture.h"
#include <burdockhead/http/httprequest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// A part that crashes every endpoint that begins to answer a request with it, and how many crashes
// and further requests are permitted.
constexpr const char *fatalPart = "bad";
constexpr std::size_t maxCrashes = 5;
constexpr Milliseconds learningTime{3000};
constexpr std::size_t maxRequestsAfterwards = 3;
constexpr Milliseconds downTime{300};

struct Fixture : GatewayFixture
{
    Fixture()
    {
        for (const auto &endpoint : m_llm) {
            EndpointStandIn *crashing = endpoint.get();
            crashing->setDelay(Milliseconds(15));
            crashing->crashOnPart(fatalPart, downTime,
                                  [this, crashing](const std::string &previous) {
                                      m_store.remove("servers", previous);
                                      m_store.put("servers", crashing->id(), crashing->entry());
                                  });
        }
    }

    // Sends a request with the fatal part and a sound one that shares all others, and waits.
    void sendBoth()
    {
        const std::string own = std::to_string(++m_sent);
        m_fatal.push_back(callWithPrompt("/stream/x", "first:40,bad:100,f" + own + ":10"));
        m_sound.push_back(callWithPrompt("/stream/x", "first:40,topic:100,s" + own + ":10"));
        waitFor(Milliseconds(50));
    }

    std::size_t crashes() const
    {
        std::size_t count = 0;
        for (const auto &endpoint : m_llm)
            count += endpoint->crashes();
        return count;
    }

    // Requests with the fatal part that have reached an endpoint.
    std::size_t fatalArrivals() const
    {
        std::size_t count = 0;
        for (const auto &endpoint : m_llm) {
            for (const RanRequest &ran : endpoint->ran()) {
                const auto parts = findHeader(ran.m_head.m_headers, "X-Prompt-Prefix");
                count += parts && parts->find(fatalPart) != std::string::npos ? 1 : 0;
            }
        }
        return count;
    }

    std::vector<std::unique_ptr<ClientCall>> m_fatal;
    std::vector<std::unique_ptr<ClientCall>> m_sound;
    int m_sent = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PromptQuarantine, Fixture)

BOOST_AUTO_TEST_CASE(a_prompt_part_that_crashes_endpoints_is_kept_from_them_after_a_few_crashes)
{
    start();
    const TimePoint end = Clock::now() + Seconds(15);
    TimePoint lastCrashAt = Clock::now();
    std::size_t crashesSoFar = 0;
    // Until there were too many crashes, or none for a long time.
    while (crashesSoFar < maxCrashes && Clock::now() < lastCrashAt + Seconds(5)
           && Clock::now() < end) {
        sendBoth();
        if (crashes() > crashesSoFar)
            lastCrashAt = Clock::now();
        crashesSoFar = crashes();
    }
    const TimePoint learnedAt = Clock::now() + learningTime;
    while (Clock::now() < learnedAt)
        sendBoth();
    const std::size_t arrivals = fatalArrivals();
    const std::size_t soundBefore = m_sound.size();
    for (int count = 0; count < 100; ++count)
        sendBoth();
    waitUntil([&] { return m_sound.back()->hasEnded() && m_fatal.back()->hasEnded(); });
    BOOST_TEST(fatalArrivals() - arrivals <= maxRequestsAfterwards);
    BOOST_TEST(crashes() > 0U);

    // Sound requests that share the first part are served, the others are told that they weren't.
    const auto served =
        std::count_if(m_sound.begin() + static_cast<std::ptrdiff_t>(soundBefore), m_sound.end(),
                      [](const auto &call) { return call->status() == 200 && call->isComplete(); });
    BOOST_TEST(served >= 95);
    BOOST_TEST(m_fatal.back()->status() == 503);
    BOOST_TEST(m_fatal.back()->header("Retry-After") == "");
}

// All gateways stop after the part was put in quarantine, and nothing but the store remembers it.
BOOST_AUTO_TEST_CASE(a_quarantine_outlasts_a_crash_of_all_gateways)
{
    start();
    for (int count = 0; count < 200 && m_store.names("quarantines").empty(); ++count)
        sendBoth();
    BOOST_REQUIRE(m_store.names("quarantines").size() == 1U);
    m_gateway->kill();
    startGateway();
    while (readiness() != 200)
        waitFor(Milliseconds(10));
    const std::size_t arrivals = fatalArrivals();
    for (int count = 0; count < 20; ++count) {
        const auto refused = callWithPrompt("/stream/x", "first:40,bad:100,r:10");
        waitUntil([&] { return refused->hasEnded(); });
        BOOST_TEST(refused->status() == 503);
        BOOST_TEST(refused->body().starts_with("A part of the prompt"));
    }
    BOOST_TEST(fatalArrivals() == arrivals);
    const auto sound = callWithPrompt("/stream/x", "first:40,topic:100,s:10");
    waitUntil([&] { return sound->hasEnded(); });
    BOOST_TEST(sound->status() == 200);
}

BOOST_AUTO_TEST_CASE(an_operator_sees_and_lifts_a_quarantine)
{
    start();
    for (int count = 0; count < 200 && m_store.names("quarantines").empty(); ++count)
        sendBoth();
    const auto program = [this](std::vector<std::string> arguments) {
        const std::filesystem::path log = m_folder / "command.log";
        std::filesystem::remove(log);
        arguments.insert(arguments.begin(), std::string(BURDOCKHEAD_BUILD_FOLDER) + "/burdockhead");
        arguments.push_back("--gateway=" + m_metrics.toString());
        ChildProcess process(arguments, log);
        waitUntil([&] { return !process.running(); });
        std::ostringstream text;
        text << process.wait() << " " << std::ifstream(log).rdbuf();
        return text.str();
    };
    const std::string listed = program({"quarantines"});
    BOOST_TEST(listed.find("quarantined llm bad level=1") != std::string::npos, listed);
    BOOST_TEST(program({"lift-quarantine", "llm", "other"}).starts_with("1 "));
    BOOST_TEST(program({"lift-quarantine", "llm", "bad"}) == "0 lifted\n");
    BOOST_TEST(program({"quarantines"}).find("quarantined") == std::string::npos);
    waitUntil([this] { return m_store.names("quarantines").empty(); });
    for (const auto &endpoint : m_llm)
        endpoint->crashOnPart("", downTime, {});
    const auto tried = callWithPrompt("/stream/x", "first:40,bad:100,t:10");
    waitUntil([&] { return tried->hasEnded(); });
    BOOST_TEST(tried->status() == 200);
}

BOOST_AUTO_TEST_SUITE_END()
