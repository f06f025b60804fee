#include <burdockhead/settings/configurationtext.h>

#include <property.h>

using namespace burdockhead;

namespace {

const std::string validText = "[data_centre a]\nstate = in\n"
                              "[kind digest]\nrepeatable = yes\nweight = 3\n"
                              "[kind sign-off]\nrepeatable = no\n"
                              "[workspace w]\nshare = 2\n"
                              "[model_group m]\nmodel = small\nkinds = digest\nranks = 2\n"
                              "experts_per_layer = 4\nexpert_slots_per_rank = 2\n"
                              "[service s]\nkinds = sign-off\n"
                              "[endpoint m0]\ngroup = m\ndata_centre = a\n"
                              "[endpoint m1]\ngroup = m\ndata_centre = a\nrank = 1\n"
                              "[endpoint s0]\ngroup = s\ndata_centre = a\n";

// A replacement in the valid text and the expected start of one of its diagnostics.
struct InvalidText
{
    const char *m_original;
    const char *m_replacement;
    const char *m_expected;
};

const std::vector<InvalidText> invalidTexts = {
    {"weight = 3", "wait = 3", "f.ini:5: section [kind digest], key wait: unknown key; allowed: r"},
    {"[workspace w]", "[workplace w]", "f.ini:8: section [workplace w]: unknown section; allowed"},
    {"weight = 3", "repeatable = yes",
     "f.ini:5: section [kind digest], key repeatable: the key is repeated; it is on line 4"},
    {"[kind sign-off]", "[kind digest]", "f.ini:6: section [kind digest]: the section is repeated"},
    {"[kind sign-off]", "[kind digest]",
     "f.ini:7: section [kind digest], key repeatable: conflicting values for the kind; line 4"},
    {"weight = 3", "weight = heavy", "f.ini:5: section [kind digest], key weight: bad value"},
    {"weight = 3", "weight = 0",
     "f.ini:5: section [kind digest], key weight: bad value '0'; allowed: a whole number from 1"},
    {"weight = 3", "weight = 3 # note", "f.ini:5: section [kind digest], key weight: bad value"},
    {"weight = 3", "weight 3", "f.ini:5: section [kind digest]: the line has no '='"},
    {"repeatable = yes\n", "", "f.ini:3: section [kind digest], key repeatable: the key is miss"},
    {"kinds = digest", "kinds = digest, dogest",
     "f.ini:12: section [model_group m], key kinds: no kind is named 'dogest'"},
    {"kinds = digest", "kinds = digest, digest", "f.ini:12: section [model_group m], key kinds: b"},
    {"kinds = digest", "kinds =", "f.ini:12: section [model_group m], key kinds: the group serve"},
    {"kinds = digest", "kinds = sign-off",
     "f.ini:3: section [kind digest]: no capacity: no group serves this kind"},
    {"[endpoint s0]\ngroup = s", "[endpoint s0]\ngroup = m",
     "f.ini:6: section [kind sign-off]: no capacity: no group that serves this kind has an"},
    {"group = s", "group = t", "f.ini:26: section [endpoint s0], key group: no model group or"},
    {"data_centre = a", "data_centre = b",
     "f.ini:20: section [endpoint m0], key data_centre: no data centre is named 'b'"},
    {"rank = 1", "rank = 0",
     "f.ini:24: section [endpoint m1], key rank: rank 0 of the group is already used by m0"},
    {"rank = 1", "rank = 2",
     "f.ini:24: section [endpoint m1], key rank: the group has no rank 2; allowed: 0 to 1"},
    {"slots_per_rank = 2", "slots_per_rank = 1",
     "f.ini:15: section [model_group m], key expert_slots_per_rank: 2 slots on all ranks are too "
     "few for 4 experts; allowed: at least 2"},
    {"ranks = 2", "ranks = 2\ncold_limit = 9",
     "f.ini:14: section [model_group m], key cold_limit: the value exceeds warm_limit; allowed: at "
     "mos"},
    {"[workspace w]", "[workspace]", "f.ini:8: section [workspace]: bad name ''; allowed: 1 to"},
    {"[workspace w]", "[workspace w w]", "f.ini:8: section [workspace w w]: bad name 'w w'"},
    {"[service s]", "[service m]", "f.ini:16: section [service m]: a model group and a service"},
    {"model = small", "model = sm/all", "f.ini:11: section [model_group m], key model: bad value"},
    {"state = in", "state = off",
     "f.ini:2: section [data_centre a], key state: bad value 'off'; allowed: out or in"},
};

std::string diagnosticsOf(const std::string &text)
{
    Diagnostics diagnostics;
    const auto configuration = parseConfiguration(text, "f.ini", diagnostics);
    BOOST_TEST(configuration.has_value() == diagnostics.empty());
    return toString(diagnostics);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationText)

BOOST_AUTO_TEST_CASE(a_valid_text_parses_and_prints_to_an_equal_configuration)
{
    Diagnostics diagnostics;
    const auto configuration = parseConfiguration(validText, "f.ini", diagnostics);
    BOOST_TEST(toString(diagnostics) == "");
    BOOST_REQUIRE(configuration.has_value());
    BOOST_TEST(configuration->kind(KindName("digest"))->m_weight == 3U);
    BOOST_TEST(!configuration->kind(KindName("sign-off"))->m_repeatable);
    BOOST_TEST(configuration->endpoint(EndpointName("m1"))->m_rank == 1U);
    const std::string printed = printConfiguration(*configuration);
    BOOST_TEST((parseConfiguration(printed, "f.ini", diagnostics) == configuration));
    BOOST_TEST(printConfiguration(*configuration) == printed);
}

BOOST_AUTO_TEST_CASE(each_invalid_text_is_rejected_with_line_and_key)
{
    for (const InvalidText &invalid : invalidTexts) {
        std::string text = validText;
        text.replace(text.find(invalid.m_original), std::string(invalid.m_original).size(),
                     invalid.m_replacement);
        const std::string messages = "\n" + diagnosticsOf(text);
        BOOST_TEST((messages.find(std::string("\n") + invalid.m_expected) != std::string::npos),
                   invalid.m_expected << " is missing in" << messages);
    }
}

BOOST_AUTO_TEST_CASE(an_empty_text_is_rejected)
{
    BOOST_TEST(diagnosticsOf("; nothing\n").starts_with("f.ini:0: the configuration is empty"));
}

BOOST_AUTO_TEST_CASE(any_text_is_parsed_or_rejected_with_a_diagnostic)
{
    checkProperty("arbitrary text", [](const std::string &text) {
        Diagnostics diagnostics;
        const auto configuration = parseConfiguration(text, "f.ini", diagnostics);
        RC_ASSERT(configuration.has_value() == diagnostics.empty());
    });
    checkProperty("a valid text with one byte changed", [](std::size_t position, char byte) {
        std::string text = validText;
        text[position % text.size()] = byte;
        Diagnostics diagnostics;
        const auto configuration = parseConfiguration(text, "f.ini", diagnostics);
        RC_ASSERT(configuration.has_value() == diagnostics.empty());
    });
}

BOOST_AUTO_TEST_SUITE_END()
