#include <burdockhead/base/erroranswer.h>
#include <burdockhead/observe/eventtype.h>
#include <burdockhead/observe/metricdescription.h>
#include <burdockhead/operators/textfile.h>
#include <burdockhead/settings/configurationtext.h>
#include <burdockhead/settings/settingstext.h>

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <regex>
#include <set>

using namespace burdockhead;

namespace {

const std::string sourceFolder = BURDOCKHEAD_SOURCE_FOLDER;

std::string readPage(const std::string &name)
{
    return readTextFile(sourceFolder + "/docs/" + name).value_or("");
}

std::string tableRow(const std::vector<std::string> &cells)
{
    std::string line = "|";
    for (const std::string &cell : cells)
        line += " " + cell + " |";
    return line + "\n";
}

std::string codeSpan(const std::string &text)
{
    return "`" + text + "`";
}

std::string keyTable(const std::vector<KeyDescription> &keys)
{
    std::string table = "| section | key | allowed | default | meaning |\n|---|---|---|---|---|\n";
    for (const KeyDescription &key : keys)
        table += tableRow({codeSpan(key.m_section), codeSpan(key.m_key), key.m_allowed,
                           key.m_default.empty() ? "required" : key.m_default, key.m_meaning});
    return table;
}

std::string errorTable()
{
    std::string table = "| kind | status | run state | another replica is tried | Retry-After | "
                        "text |\n|---|---|---|---|---|---|\n";
    for (std::size_t index = 0; index < errorKindCount; ++index) {
        const ErrorAnswer &answer = answerFor(static_cast<ErrorKind>(index));
        table += tableRow({codeSpan(answer.m_name), std::to_string(answer.m_httpStatus),
                           codeSpan(toString(answer.m_runState)),
                           answer.m_tryAnotherReplica ? "yes" : "no",
                           answer.m_tellsWhenToComeBack ? "yes" : "no", answer.m_text});
    }
    return table;
}

std::string metricTable()
{
    std::string table = "| metric | type | labels | meaning |\n|---|---|---|---|\n";
    for (const MetricDescription &metric : metricDescriptions())
        table += tableRow({codeSpan(metric.m_name), metric.m_type,
                           *metric.m_labels == '\0' ? "none" : metric.m_labels, metric.m_meaning});
    return table;
}

std::string eventList()
{
    std::string list;
    for (std::size_t index = 0; index < eventTypeCount; ++index)
        list += "- " + codeSpan(toString(static_cast<EventType>(index))) + "\n";
    return list;
}

// Checks that the page contains this table or list word for word, with nothing added to it.
void checkPageContains(const std::string &name, const std::string &expected)
{
    BOOST_TEST((readPage(name).find("\n" + expected + "\n") != std::string::npos),
               "docs/" << name << " should have this part:\n"
                       << expected);
}

// Returns the metric names that the sources use.
std::set<std::string> usedMetrics()
{
    const std::regex literal("\"(burdockhead_[a-z_]+|process_[a-z]+_[a-z]+_[a-z_]+)\"");
    std::set<std::string> names;
    const std::filesystem::recursive_directory_iterator files(sourceFolder + "/src");
    for (const std::filesystem::directory_entry &file : files) {
        if (file.path().extension() != ".cpp" || file.path().stem() == "metricdescription")
            continue;
        const std::string text = readTextFile(file.path()).value_or("");
        for (std::sregex_iterator match(text.begin(), text.end(), literal), end; match != end;
             ++match)
            names.insert((*match)[1]);
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Documents)

BOOST_AUTO_TEST_CASE(the_key_page_lists_every_key_of_the_code)
{
    checkPageContains("KEYS.md", keyTable(configurationKeys()));
    checkPageContains("KEYS.md", keyTable(entrySettingsKeys()));
    checkPageContains("KEYS.md", keyTable(agentSettingsKeys()));
    checkPageContains("KEYS.md", keyTable(gatewaySettingsKeys()));
    checkPageContains("KEYS.md", keyTable(rankAgentSettingsKeys()));
}

BOOST_AUTO_TEST_CASE(the_error_page_lists_every_error_kind_and_its_response)
{
    checkPageContains("ERRORS.md", errorTable());
}

BOOST_AUTO_TEST_CASE(the_metrics_page_lists_every_metric_of_the_code)
{
    checkPageContains("METRICS.md", metricTable());
    std::set<std::string> described;
    for (const MetricDescription &metric : metricDescriptions())
        described.insert(metric.m_name);
    BOOST_TEST(described == usedMetrics(), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_operators_page_lists_every_event_type)
{
    checkPageContains("OPERATORS.md", eventList());
}

BOOST_AUTO_TEST_SUITE_END()
