#include <burdockhead/settings/settingstext.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

const std::string entryText = "[process]\nname = e1\ndata_centre = a\n"
                              "[listen]\ncallers = 127.0.0.1:80\noperators = 127.0.0.1:81\n"
                              "control = 127.0.0.1:82\n"
                              "[platform]\nurl = http://127.0.0.1:83\n";

const std::string agentText = "[process]\nname = g1\ndata_centre = a\nlog_level = debug\n"
                              "[listen]\nlink = 127.0.0.1:80\noperators = 127.0.0.1:81\n"
                              "control = 127.0.0.1:82\n"
                              "[platform]\nurl = http://127.0.0.1:83/api\n"
                              "[endpoint]\nname = r0\nurl = http://127.0.0.1:84\n"
                              "[limits]\nmax_body_bytes = 100\ndrain_ms = 5\n"
                              "[seeds]\ncontrol = 127.0.0.1:1, 127.0.0.1:2\n";

const std::string gatewayText = "[process]\nname = w1\ndata_centre = a\n"
                                "[listen]\nclients = 127.0.0.1:80\nreadiness = 127.0.0.1:81\n"
                                "directory = 127.0.0.1:82\npeers = 127.0.0.1:83\n"
                                "metrics = 127.0.0.1:84\n[store]\naddress = 127.0.0.1:85\n";

// Returns the first diagnostic of an agent's settings.
std::string agentDiagnostic(const std::string &text)
{
    Diagnostics diagnostics;
    BOOST_TEST(!parseAgentSettings(text, "g.ini", diagnostics).has_value());
    return diagnostics.empty() ? "" : diagnostics.front().toString();
}

std::string replaced(std::string text, const std::string &original, const std::string &replacement)
{
    return text.replace(text.find(original), original.size(), replacement);
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsText)

BOOST_AUTO_TEST_CASE(printed_settings_parse_to_equal_settings)
{
    Diagnostics diagnostics;
    const auto entry = parseEntrySettings(entryText, "e.ini", diagnostics);
    BOOST_TEST(toString(diagnostics) == "");
    BOOST_REQUIRE(entry.has_value());
    BOOST_TEST(entry->m_callers.m_port == 80);
    BOOST_TEST((parseEntrySettings(printSettings(*entry), "e.ini", diagnostics) == entry));
    const auto agent = parseAgentSettings(agentText, "g.ini", diagnostics);
    BOOST_TEST(toString(diagnostics) == "");
    BOOST_REQUIRE(agent.has_value());
    BOOST_TEST((agent->m_limits.m_drainTimeout == Milliseconds(5)));
    BOOST_TEST(agent->m_seeds.size() == 2U);
    BOOST_TEST((parseAgentSettings(printSettings(*agent), "g.ini", diagnostics) == agent));
}

// Bounds that are scaled to the platform's size need not be whole numbers.
BOOST_AUTO_TEST_CASE(gateway_bounds_may_be_fractions)
{
    Diagnostics diagnostics;
    const auto gateway = parseGatewaySettings(
        gatewayText
            + "[bounds]\nretry_ratio = 0.15\nretry_burst = 42.41379310344828\n"
              "retry_window_s = 7.5\ncold_burst = 1.25\nleave_ms = 1500.5\nstop_grace_s = 2.5\n",
        "w.ini", diagnostics);
    BOOST_TEST(toString(diagnostics) == "");
    BOOST_REQUIRE(gateway.has_value());
    BOOST_TEST(gateway->m_bounds.m_retryBurst > 42.4);
    BOOST_TEST((gateway->m_bounds.m_retryWindow == Milliseconds(7500)));
    BOOST_TEST((gateway->m_bounds.m_leaveTime == Milliseconds(1500)));
    BOOST_TEST((gateway->m_bounds.m_stopGrace == Milliseconds(2500)));
    BOOST_TEST((parseGatewaySettings(printSettings(*gateway), "w.ini", diagnostics) == gateway));
}

// A template renders a key without a value if the platform names no limit.
BOOST_AUTO_TEST_CASE(empty_limits_are_the_defaults)
{
    Diagnostics diagnostics;
    const auto settings = parseGatewaySettings(
        gatewayText + "[limits]\nmemory_mb =\nmax_descriptors = \n", "w.ini", diagnostics);
    const auto expected = parseGatewaySettings(gatewayText, "w.ini", diagnostics);
    BOOST_REQUIRE((settings && expected));
    BOOST_TEST((settings->m_resources == expected->m_resources));
    BOOST_TEST(
        !parseGatewaySettings(gatewayText + "[limits]\nmemory_mb = x\n", "w.ini", diagnostics)
             .has_value());
}

BOOST_AUTO_TEST_CASE(gateway_bounds_out_of_range_are_rejected)
{
    for (const char *bound : {"retry_window_s = 0.5", "stop_grace_s = 0", "leave_ms = -1",
                              "retry_burst = 1000001", "retry_burst = many"}) {
        Diagnostics diagnostics;
        const std::string text = gatewayText + "[bounds]\n" + bound + "\n";
        BOOST_TEST(!parseGatewaySettings(text, "w.ini", diagnostics).has_value(), bound);
    }
}

BOOST_AUTO_TEST_CASE(invalid_settings_are_rejected_with_line_and_key)
{
    BOOST_TEST(agentDiagnostic(replaced(agentText, "127.0.0.1:80", "host:80"))
               == "g.ini:6: section [listen], key link: bad value 'host:80'; allowed: HOST:PORT "
                  "with an IP number and a port from 1 to 65535");
    BOOST_TEST(agentDiagnostic(replaced(agentText, "link", "callers"))
                   .starts_with("g.ini:5: section [listen], key link: the key is missing"));
    BOOST_TEST(agentDiagnostic(replaced(agentText, "debug", "loud"))
                   .starts_with("g.ini:4: section [process], key log_level: bad value"));
    BOOST_TEST(agentDiagnostic(replaced(agentText, "= 100", "= -1"))
                   .starts_with("g.ini:15: section [limits], key max_body_bytes: bad value"));
    BOOST_TEST(agentDiagnostic(replaced(agentText, "[seeds]", "[sedes]"))
                   .starts_with("g.ini:17: section [sedes]: unknown section; allowed: [process]"));
    BOOST_TEST(agentDiagnostic("[process]\nname = a\ndata_centre = b\n")
               == "g.ini:0: section [listen]: the section is missing; allowed: [listen]");
}

BOOST_AUTO_TEST_SUITE_END()
