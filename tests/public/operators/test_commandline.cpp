#include <boost/test/unit_test.hpp>

#include <commandrun.h>
#include <smallconfiguration.h>

using namespace burdockhead;

namespace {

struct UsageError
{
    Arguments m_arguments;
    const char *m_errorPrefix;
};

const std::vector<UsageError> usageErrors = {
    {{}, "burdockhead: no command"},
    {{"frobnicate"}, "burdockhead: unknown command or flag 'frobnicate'"},
    {{"--loud"}, "burdockhead: unknown command or flag '--loud'"},
    {{"show", "--loud"}, "burdockhead: show: unknown flag --loud"},
    {{"show", "--json"}, "burdockhead: show: unknown flag --json"},
    {{"show", "extra"}, "burdockhead: show: unknown argument 'extra'"},
    {{"check"}, "burdockhead: check: missing FILE..."},
    {{"apply", "a", "b"}, "burdockhead: apply: unknown argument 'b'"},
    {{"apply", "a", "--entry"}, "burdockhead: apply: flag --entry needs a value"},
    {{"apply", "a", "--yes=perhaps"}, "burdockhead: apply: flag --yes: bad value 'perhaps'"},
    {{"show", "--timeout_ms", "9"}, "burdockhead: flag --entry is missing"},
    {{"show", "--entry=localhost:1"}, "burdockhead: show: flag --entry: allowed: HOST:PORT"},
    {{"show", "--timeout-ms=0"}, "burdockhead: show: flag --timeout_ms: 1 to 3600000 is expected"},
    {{"timeline", "--event=x"}, "burdockhead: timeline: flag --event: unknown type of event 'x'"},
    {{"entry"}, "burdockhead: flag --settings is missing"},
    {{"quarantines"}, "burdockhead: flag --gateway is missing"},
    {{"lift-quarantine", "llm"}, "burdockhead: lift-quarantine: missing SERVICE PART"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(CommandLine)

BOOST_AUTO_TEST_CASE(a_usage_error_prints_one_line_and_exits_with_status_2)
{
    for (const UsageError &error : usageErrors) {
        const CommandRun run = runProgram(error.m_arguments);
        BOOST_TEST(run.m_status == ExitUsage);
        BOOST_TEST(run.m_err.starts_with(error.m_errorPrefix), run.m_err);
        BOOST_TEST(std::count(run.m_err.begin(), run.m_err.end(), '\n') == 1);
        BOOST_TEST(run.m_out.empty());
    }
}

BOOST_AUTO_TEST_CASE(every_command_has_help)
{
    const CommandRun help = runProgram({"--help"});
    BOOST_TEST(help.m_status == ExitOk);
    for (const char *name : {"entry", "agent", "check", "apply", "show", "take-out", "bring-back",
                             "timeline", "quarantines", "lift-quarantine"}) {
        BOOST_TEST((help.m_out.find(std::string("\n  ") + name + " ") != std::string::npos));
        const CommandRun commandHelp = runProgram({name, "--help"});
        BOOST_TEST(commandHelp.m_status == ExitOk);
        BOOST_TEST(commandHelp.m_out.starts_with(std::string("Usage: burdockhead ") + name));
    }
    BOOST_TEST(runProgram({"--version"}).m_out == "burdockhead " BURDOCKHEAD_VERSION "\n");
}

BOOST_AUTO_TEST_CASE(check_detects_the_file_type_by_its_sections)
{
    const std::string entry = "[process]\nname = e1\ndata_centre = a\n[listen]\n"
                              "callers = 127.0.0.1:80\noperators = 127.0.0.1:81\n"
                              "control = 127.0.0.1:82\n[platform]\nurl = http://127.0.0.1:83\n";
    const std::string agent = replaceFirst(entry, "callers", "link")
                              + "[endpoint]\nname = m0\nurl = http://127.0.0.1:84\n";
    const ScopedFile entryFile(entry);
    const ScopedFile agentFile(agent);
    const ScopedFile configurationFile(smallConfiguration);
    const CommandRun run =
        runProgram({"check", entryFile.name(), agentFile.name(), configurationFile.name()});
    BOOST_TEST(run.m_status == ExitOk);
    BOOST_TEST(run.m_out
               == entryFile.name() + ": settings of an entry, no errors\n" + agentFile.name()
                      + ": settings of an agent, no errors\n" + configurationFile.name()
                      + ": configuration, no errors\n");
    BOOST_TEST(runProgram({"entry", "--settings", entryFile.name()}).m_status == 0);
    BOOST_TEST(lastProcessPort == 80);
    const CommandRun mismatched = runProgram({"agent", "--settings", entryFile.name()});
    BOOST_TEST(mismatched.m_status == ExitInvalidConfiguration);
    BOOST_TEST(runProgram({"check", "no-such-file"}).m_status == ExitFailed);
}

BOOST_AUTO_TEST_CASE(check_names_file_line_section_and_key)
{
    const ScopedFile file(replaceFirst(smallConfiguration, "share = 2", "share = no"));
    const CommandRun run = runProgram({"check", file.name()});
    BOOST_TEST(run.m_status == ExitInvalidConfiguration);
    BOOST_TEST(run.m_err
               == file.name()
                      + ":8: section [workspace w], key share: bad value 'no'; allowed: a whole "
                        "number from 1 to 1000000\n");
}

BOOST_AUTO_TEST_SUITE_END()
