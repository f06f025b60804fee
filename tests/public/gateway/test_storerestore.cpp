#include "gatewayfixture.h"

#include <algorithm>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// In which a change that the store has confirmed is in force.
constexpr Milliseconds inForceTime{2000};

struct Fixture : GatewayFixture
{
    int statusWith(const std::string &credential)
    {
        return request("GET", "/safe/x", credential)->status();
    }

    // Waits until requests with the credential get that status.
    void waitForStatus(const std::string &credential, int status)
    {
        const TimePoint deadline = Clock::now() + inForceTime;
        while (statusWith(credential) != status)
            BOOST_REQUIRE((Clock::now() < deadline));
    }

    // Sends requests for that time; each must get that status.
    void expectStatus(const std::string &credential, int status, Milliseconds span)
    {
        for (const TimePoint end = Clock::now() + span; Clock::now() < end;
             waitFor(Milliseconds(20)))
            BOOST_REQUIRE(statusWith(credential) == status);
    }
};

} // namespace

// The platform's store comes back from an older copy.
BOOST_FIXTURE_TEST_SUITE(StoreRestore, Fixture)

BOOST_AUTO_TEST_CASE(a_revoked_credential_stays_revoked_when_the_store_has_lost_the_change)
{
    start();
    m_store.takeCopy();
    m_store.put("config", "main", configuration(9, "fresh"));
    waitForStatus("key", 401);
    m_store.restoreCopy();
    expectStatus("key", 401, Milliseconds(1500));
    BOOST_TEST(statusWith("fresh") == 200);
    m_store.put("config", "main", configuration(9, "fresh"));
    expectStatus("key", 401, Milliseconds(500));
    m_store.put("config", "main", configuration(11, "newest"));
    waitForStatus("newest", 200);
    BOOST_TEST(statusWith("fresh") == 401);
}

// Another change is written first, and so gets the number of the one that was lost.
BOOST_AUTO_TEST_CASE(a_version_with_other_content_is_in_force_once_the_restored_store_has_it)
{
    start();
    m_store.takeCopy();
    m_store.put("config", "main", configuration(9, "lost"));
    waitForStatus("lost", 200);
    m_store.restoreCopy();
    waitFor(Milliseconds(300));
    m_store.put("config", "main", configuration(9, "other"));
    waitForStatus("other", 200);
    BOOST_TEST(statusWith("lost") == 401);
}

// The watch of the old era is answered as if nothing had happened, since the new era has passed its
// revision.
BOOST_AUTO_TEST_CASE(changes_that_the_new_era_made_under_old_revisions_are_not_missed)
{
    start();
    m_store.takeCopy();
    for (int version = 9; version < 29; version += 2)
        m_store.put("config", "main", configuration(version, "lost"));
    waitForStatus("lost", 200);
    m_store.setSilent(true);
    m_store.restoreCopy();
    m_store.put("config", "main", configuration(31, "new"));
    for (int count = 0; count < 30; ++count)
        m_store.put("other", "x", std::to_string(count));
    m_store.setSilent(false);
    waitForStatus("new", 200);
}

// Its connections to the store went silent before; another gateway knows of the new era.
BOOST_AUTO_TEST_CASE(a_gateway_whose_watches_are_silent_learns_of_the_restore_from_another)
{
    m_store.takeCopy();
    start();
    waitFor(Seconds(1));
    m_store.silenceWatches();
    FurtherGateway second = startFurtherGateway("g2");
    m_store.restoreCopy();
    m_store.put("config", "main", configuration(31, "new"));
    for (int count = 0; count < 30; ++count)
        m_store.put("other", "x", std::to_string(count));
    for (const auto &endpoint : m_llm)
        m_store.put("servers", endpoint->id(), endpoint->entry());
    for (const auto &endpoint : m_app)
        m_store.put("servers", endpoint->id(), endpoint->entry());
    waitForStatus("new", 200);
}

BOOST_AUTO_TEST_CASE(endpoints_that_the_copy_does_not_have_stay_in_use_until_they_register_again)
{
    for (const auto &endpoint : m_app)
        m_store.put("servers", endpoint->id(), endpoint->entry());
    m_store.put("config", "main", configuration(3));
    m_store.takeCopy();
    start();
    m_store.remove("servers", m_app[0]->id());
    m_store.remove("servers", m_app[1]->id());
    m_store.takeCopy();
    for (const auto &endpoint : m_app)
        m_store.put("servers", endpoint->id(), endpoint->entry());
    waitFor(Milliseconds(2500));
    BOOST_REQUIRE(statusWith("key") == 200);
    m_store.restoreCopy();
    expectStatus("key", 200, Milliseconds(1800));
    for (const auto &endpoint : m_app)
        m_store.put("servers", endpoint->id(), endpoint->entry());
    expectStatus("key", 200, Milliseconds(2500));
}

BOOST_AUTO_TEST_CASE(endpoints_that_the_copy_does_not_have_and_that_do_not_register_are_given_up)
{
    start();
    m_store.remove("servers", m_app[0]->id());
    waitFor(Milliseconds(500));
    m_store.takeCopy();
    m_store.put("servers", m_app[0]->id(), m_app[0]->entry());
    waitFor(Milliseconds(1500));
    m_store.restoreCopy();
    waitFor(Milliseconds(4500));
    const std::size_t before = m_app[0]->ran().size();
    for (int count = 0; count < 10; ++count)
        BOOST_TEST(statusWith("key") == 200);
    BOOST_TEST(m_app[0]->ran().size() == before);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_has_left_is_not_used_again_when_the_copy_lists_it)
{
    start();
    m_store.takeCopy();
    m_store.put("servers", m_app[0]->id(), m_app[0]->entry("draining"));
    waitFor(Milliseconds(500));
    m_store.remove("servers", m_app[0]->id());
    waitFor(Milliseconds(1500));
    const std::size_t before = m_app[0]->ran().size();
    m_store.restoreCopy();
    expectStatus("key", 200, Milliseconds(6000));
    BOOST_TEST(m_app[0]->ran().size() == before);
}

// It left without notice, and its registration in the copy expires.
BOOST_AUTO_TEST_CASE(a_removed_endpoint_is_held_back_until_it_registers_itself)
{
    start();
    m_store.takeCopy();
    m_store.remove("servers", m_app[0]->id());
    waitFor(Milliseconds(1500));
    const std::size_t before = m_app[0]->ran().size();
    m_store.restoreCopy();
    expectStatus("key", 200, Milliseconds(2500));
    BOOST_TEST(m_app[0]->ran().size() == before);
    // A change that it makes itself shows that it is running.
    std::string entry = m_app[0]->entry();
    entry.replace(entry.find(R"("slots":4)"), 9, R"("slots":5)");
    m_store.put("servers", m_app[0]->id(), entry);
    waitFor(Milliseconds(1500));
    for (int count = 0; count < 20; ++count)
        BOOST_TEST(statusWith("key") == 200);
    BOOST_TEST(m_app[0]->ran().size() > before);
}

BOOST_AUTO_TEST_CASE(a_data_centre_that_is_out_stays_out_until_operators_have_written_again)
{
    start();
    m_store.takeCopy();
    m_store.put("evacuations", "a", "{}");
    waitForStatus("key", 503);
    m_store.restoreCopy();
    expectStatus("key", 503, Milliseconds(2500));
    m_store.put("evacuations", "a", "{}");
    expectStatus("key", 503, Milliseconds(500));
    m_store.remove("evacuations", "a");
    waitForStatus("key", 200);
}

// All that the copy lacks is known to the first gateway only.
BOOST_AUTO_TEST_CASE(a_gateway_that_starts_after_the_restore_learns_from_the_others_what_was_lost)
{
    start();
    m_store.takeCopy();
    m_store.put("config", "main", configuration(9, "fresh"));
    m_store.put("servers", m_app[0]->id(), m_app[0]->entry("draining"));
    waitForStatus("key", 401);
    waitFor(Milliseconds(500));
    m_store.restoreCopy();
    waitFor(Milliseconds(300));
    const std::size_t before = m_app[0]->ran().size();
    FurtherGateway second = startFurtherGateway("g2");
    m_clients = second.m_clients;
    expectStatus("key", 401, Milliseconds(1500));
    for (int count = 0; count < 20; ++count)
        BOOST_TEST(statusWith("fresh") == 200);
    BOOST_TEST(m_app[0]->ran().size() == before);
}

BOOST_AUTO_TEST_CASE(a_data_centre_that_is_out_is_out_at_a_gateway_that_starts_after_the_restore)
{
    start();
    m_store.takeCopy();
    m_store.put("evacuations", "a", "{}");
    waitForStatus("key", 503);
    m_store.restoreCopy();
    waitFor(Milliseconds(300));
    FurtherGateway second = startFurtherGateway("g2");
    m_clients = second.m_clients;
    expectStatus("key", 503, Milliseconds(1500));
}

BOOST_AUTO_TEST_CASE(a_store_that_goes_back_twice_in_a_row_costs_nothing_that_was_in_force)
{
    start();
    m_store.takeCopy();
    m_store.put("config", "main", configuration(9, "fresh"));
    waitForStatus("key", 401);
    m_store.restoreCopy();
    waitFor(Milliseconds(5));
    m_store.restoreCopy();
    expectStatus("key", 401, Milliseconds(1000));
    m_store.put("config", "main", configuration(13, "last"));
    waitForStatus("last", 200);
    m_store.restoreCopy();
    expectStatus("key", 401, Milliseconds(1000));
    BOOST_TEST(statusWith("last") == 200);
}

BOOST_AUTO_TEST_CASE(a_quarantine_that_the_store_has_lost_is_written_again)
{
    m_store.takeCopy();
    start();
    const auto crashing = [this](std::size_t index) {
        EndpointStandIn *endpoint = m_llm[index].get();
        endpoint->crashOnPart("bad", Milliseconds(300), [this, endpoint](const auto &previous) {
            m_store.remove("servers", previous);
            m_store.put("servers", endpoint->id(), endpoint->entry());
        });
    };
    crashing(0);
    crashing(1);
    m_store.takeCopy();
    std::vector<std::unique_ptr<ClientCall>> calls;
    for (int count = 0; count < 200 && m_store.names("quarantines").empty(); ++count) {
        calls.push_back(callWithPrompt("/stream/x", "first:40,bad:100,r:10"));
        calls.push_back(callWithPrompt("/stream/x", "first:40,topic:100,r:10"));
        waitFor(Milliseconds(50));
    }
    BOOST_REQUIRE(m_store.names("quarantines").size() == 1U);
    m_store.restoreCopy();
    BOOST_TEST(m_store.names("quarantines").empty());
    const TimePoint deadline = Clock::now() + inForceTime;
    while (m_store.names("quarantines").empty()) {
        BOOST_REQUIRE((Clock::now() < deadline));
        waitFor(Milliseconds(20));
    }
}

BOOST_AUTO_TEST_SUITE_END()
