#include <burdockhead/settings/inidocument.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

// Returns the diagnostics of a text, one per line.
std::string diagnosticsOf(const std::string &text)
{
    Diagnostics diagnostics;
    readIniDocument(text, "f.ini", diagnostics);
    return toString(diagnostics);
}

} // namespace

BOOST_AUTO_TEST_SUITE(IniDocuments)

BOOST_AUTO_TEST_CASE(sections_and_keys_have_line_numbers)
{
    Diagnostics diagnostics;
    const IniDocument document = readIniDocument(
        "; note\n[kind  digest]\n\n weight = 5 ; a note\n[workspace a]\r\n", "f.ini", diagnostics);
    BOOST_TEST(toString(diagnostics).empty());
    BOOST_REQUIRE(document.m_sections.size() == 2U);
    const IniSection &kind = document.m_sections.front();
    BOOST_TEST(kind.heading() == "kind digest");
    BOOST_TEST(kind.m_line == 2U);
    BOOST_TEST((kind.m_entries == std::vector<IniEntry>{{"weight", "5", 4}}));
    BOOST_TEST(document.m_sections.back().heading() == "workspace a");
}

BOOST_AUTO_TEST_CASE(long_headings_and_values_are_not_truncated)
{
    const std::string name(60, 'n');
    const std::string value(60000, 'v');
    Diagnostics diagnostics;
    const IniDocument document =
        readIniDocument("[model_group " + name + "]\nkinds = " + value, "f.ini", diagnostics);
    BOOST_TEST(toString(diagnostics).empty());
    BOOST_TEST(document.m_sections.front().m_name == name);
    BOOST_TEST(document.m_sections.front().m_entries.front().m_value == value);
}

BOOST_AUTO_TEST_CASE(invalid_lines_are_reported_with_line_numbers)
{
    BOOST_TEST(diagnosticsOf("[a]\nx = 1\nx = 2\n")
               == "f.ini:3: section [a], key x: the key is repeated; it is on line 2 already; "
                  "allowed: each key once in a section\n");
    BOOST_TEST(
        diagnosticsOf("[a]\n[b]\n[a]\n").starts_with("f.ini:3: section [a]: the section is"));
    BOOST_TEST(
        diagnosticsOf("[a]\nnonsense\ny = 1\n").starts_with("f.ini:2: section [a]: the line"));
    BOOST_TEST(diagnosticsOf("x = 1\n").starts_with("f.ini:1: key x: the key comes before"));
    BOOST_TEST(diagnosticsOf("[a\n").starts_with("f.ini:1: section [a]: the section heading"));
    BOOST_TEST(
        diagnosticsOf("[a]\nx = " + std::string(70000, 'v')).starts_with("f.ini:2: section [a]"));
    BOOST_TEST(
        diagnosticsOf(std::string("[a]\nx = 1\0\n", 11)).starts_with("f.ini:2: section [a]"));
}

BOOST_AUTO_TEST_SUITE_END()
