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

std::string page(const std::string &name)
{
    return readTextFile(sourceFolder + "/docs/" + name).value_or("");
}

std::string row(const std::vector<std::string> &cells)
{
    std::string line = "|";
    for (const std::string &cell : cells)
        line += " " + cell + " |";
    return line + "\n";
}

std::string code(const std::string &text)
{
    return "`" + text + "`";
}

std::string keyTable(const std::vector<KeyDescription> &keys)
{
    std::string table = "| section | key | allowed | default | meaning |\n|---|---|---|---|---|\n";
    for (const KeyDescription &key : keys)
        table += row({code(key.m_section), code(key.m_key), key.m_allowed,
                      key.m_default.empty() ? "required" : key.m_default, key.m_meaning});
    return table;
}

std::string errorTable()
{
    std::string table = "| kind | status | run state | another replica is tried | Retry-After | "
                        "text |\n|---|---|---|---|---|---|\n";
    for (std::size_t index = 0; index < errorKindCount; ++index) {
        const ErrorAnswer &answer = answerFor(static_cast<ErrorKind>(index));
        table += row({code(answer.m_name), std::to_string(answer.m_httpStatus),
                      code(toString(answer.m_runState)), answer.m_tryAnotherReplica ? "yes" : "no",
                      answer.m_tellsWhenToComeBack ? "yes" : "no", answer.m_text});
    }
    return table;
}

std::string metricTable()
{
    std::string table = "| metric | type | labels | meaning |\n|---|---|---|---|\n";
    for (const MetricDescription &metric : metricDescriptions())
        table += row({code(metric.m_name), metric.m_type,
                      *metric.m_labels == '\0' ? "none" : metric.m_labels, metric.m_meaning});
    return table;
}

std::string eventList()
{
    std::string list;
    for (std::size_t index = 0; index < eventTypeCount; ++index)
        list += "- " + code(toString(static_cast<EventType>(index))) + "\n";
    return list;
}

// The page has this part word for word, and no other table or list of the sort.
void checkPart(const std::string &name, const std::string &part)
{
    BOOST_TEST((page(name).find("\n" + part + "\n") != std::string::npos),
               "docs/" << name << " should have this part:\n"
                       << part);
}

// The metric names that the sources use.
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

BOOST_AUTO_TEST_CASE(the_key_page_lists_every_key_as_the_code_reads_it)
{
    checkPart("KEYS.md", keyTable(configurationKeys()));
    checkPart("KEYS.md", keyTable(entrySettingsKeys()));
    checkPart("KEYS.md", keyTable(agentSettingsKeys()));
    checkPart("KEYS.md", keyTable(gatewaySettingsKeys()));
    checkPart("KEYS.md", keyTable(rankAgentSettingsKeys()));
}

BOOST_AUTO_TEST_CASE(the_error_page_lists_every_kind_as_the_code_answers_it)
{
    checkPart("ERRORS.md", errorTable());
}

BOOST_AUTO_TEST_CASE(the_metrics_page_lists_what_the_processes_count)
{
    checkPart("METRICS.md", metricTable());
    std::set<std::string> described;
    for (const MetricDescription &metric : metricDescriptions())
        described.insert(metric.m_name);
    BOOST_TEST(described == usedMetrics(), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(the_operators_page_lists_every_type_of_event)
{
    checkPart("OPERATORS.md", eventList());
}

BOOST_AUTO_TEST_SUITE_END()
