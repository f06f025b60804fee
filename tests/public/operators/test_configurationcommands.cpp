#include <burdockhead/operators/configurationdifference.h>
#include <burdockhead/operators/initextedit.h>

#include <boost/test/unit_test.hpp>

#include <commandrun.h>
#include <fakeentry.h>
#include <smallconfiguration.h>

using namespace burdockhead;

namespace {

const std::string changedConfiguration = replaceFirst(smallConfiguration, "share = 2", "share = 3");
const std::string concurrentConfiguration = smallConfiguration + "[workspace v]\n";

// Runs a command against a fake entry.
CommandRun runAgainst(const FakeEntry &entry, Arguments arguments, const std::string &input = "")
{
    arguments.push_back("--entry=" + entry.address().toString());
    arguments.push_back("--timeout_ms=5000");
    return runProgram(arguments, input);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationCommands)

BOOST_AUTO_TEST_CASE(differences_are_listed_by_section_and_key)
{
    BOOST_TEST(configurationDifference(smallConfiguration, smallConfiguration + "; note\n") == "");
    BOOST_TEST(configurationDifference(smallConfiguration, changedConfiguration)
               == "  [workspace w] share: 2 -> 3\n");
    BOOST_TEST(configurationDifference(smallConfiguration, concurrentConfiguration)
               == "+ [workspace v] share=1\n");
    BOOST_TEST(configurationDifference(concurrentConfiguration, smallConfiguration)
               == "- [workspace v] share=1\n");
}

BOOST_AUTO_TEST_CASE(setting_a_value_preserves_comments_and_other_lines)
{
    BOOST_TEST(setIniValue("[a]\nx = 1 ; note\n", "a", "x", "2").value() == "[a]\nx = 2 ; note\n");
    BOOST_TEST(setIniValue("; n\n[a]\n[b]\n", "a", "x", "2").value() == "; n\n[a]\nx = 2\n[b]\n");
    BOOST_TEST(setIniValue("[b]\n[a]", "a", "x", "2").value() == "[b]\n[a]\nx = 2\n");
    BOOST_TEST(!setIniValue("[b]\n", "a", "x", "2").has_value());
}

BOOST_AUTO_TEST_CASE(apply_prints_the_difference_and_asks_for_confirmation)
{
    FakeEntry entry(smallConfiguration);
    const ScopedFile file(changedConfiguration);
    const CommandRun declined = runAgainst(entry, {"apply", file.name()}, "n\n");
    BOOST_TEST(declined.m_status == ExitFailed);
    BOOST_TEST(declined.m_out
               == "Changes to version 1:\n  [workspace w] share: 2 -> 3\nApply? [y/N] ");
    BOOST_TEST(entry.version() == 1U);
    const CommandRun dry = runAgainst(entry, {"apply", file.name(), "--dry-run"});
    BOOST_TEST(dry.m_status == ExitOk);
    BOOST_TEST(entry.version() == 1U);
    const CommandRun done = runAgainst(entry, {"apply", file.name()}, "y\n");
    BOOST_TEST(done.m_status == ExitOk);
    BOOST_TEST(entry.text() == changedConfiguration);
    const CommandRun shown = runAgainst(entry, {"show"});
    BOOST_TEST(shown.m_out == "; version 2\n" + changedConfiguration);
    const CommandRun again = runAgainst(entry, {"apply", file.name(), "--yes"});
    BOOST_TEST(again.m_out == "Changes to version 2:\n  none\n");
    BOOST_TEST(entry.version() == 2U);
}

BOOST_AUTO_TEST_CASE(apply_fails_after_a_concurrent_change_and_prints_it)
{
    FakeEntry entry(smallConfiguration);
    const ScopedFile file(changedConfiguration);
    entry.replaceBeforeNextChange(concurrentConfiguration);
    const CommandRun run = runAgainst(entry, {"apply", file.name(), "--yes"});
    BOOST_TEST(run.m_status == ExitConflict);
    BOOST_TEST(run.m_err
               == "configuration_conflict: version 1 is no longer in force; nothing was changed\n"
                  "Version 2 is in force and differs in:\n+ [workspace v] share=1\n");
    BOOST_TEST(entry.text() == concurrentConfiguration);
    const CommandRun based = runAgainst(entry, {"apply", file.name(), "--base-version=1"});
    BOOST_TEST(based.m_status == ExitConflict);
    BOOST_TEST(entry.text() == concurrentConfiguration);
}

BOOST_AUTO_TEST_CASE(a_change_whose_response_is_lost_is_read_back_and_never_resent)
{
    for (const bool isApplying : {true, false}) {
        FakeEntry entry(smallConfiguration);
        const ScopedFile file(changedConfiguration);
        entry.dropResponses(isApplying);
        const CommandRun run = runProgram({"apply", file.name(), "--yes", "--timeout_ms=300",
                                           "--entry=" + entry.address().toString()});
        BOOST_TEST(run.m_status == (isApplying ? ExitOk : ExitUnreachable));
        BOOST_TEST(entry.version() == (isApplying ? 2U : 1U));
        BOOST_TEST(run.m_err.starts_with("outcome_unknown") == !isApplying);
    }
}

BOOST_AUTO_TEST_CASE(a_data_centre_is_taken_out_and_brought_back_despite_concurrent_changes)
{
    FakeEntry entry(smallConfiguration);
    entry.replaceBeforeNextChange(concurrentConfiguration);
    const CommandRun out = runAgainst(entry, {"take-out", "a"});
    BOOST_TEST(out.m_status == ExitOk);
    BOOST_TEST(out.m_out.ends_with("  [data_centre a] state: in -> out\nVersion 3 is in force.\n"));
    BOOST_TEST(entry.text()
               == replaceFirst(concurrentConfiguration, "state = in ; main", "state = out ; main"));
    BOOST_TEST(runAgainst(entry, {"take-out", "a"}).m_out.ends_with("  none\n"));
    BOOST_TEST(runAgainst(entry, {"bring-back", "a"}).m_status == ExitOk);
    BOOST_TEST(entry.text() == concurrentConfiguration);
    const CommandRun unknown = runAgainst(entry, {"take-out", "c"});
    BOOST_TEST(unknown.m_status == ExitFailed);
    BOOST_TEST(unknown.m_err == "No data centre is named 'c'.\n");
}

BOOST_AUTO_TEST_CASE(an_unreachable_entry_is_skipped)
{
    const FakeEntry entry(smallConfiguration);
    const std::string entryAddresses =
        freeLoopbackAddress().toString() + ", " + entry.address().toString();
    BOOST_TEST(runProgram({"show", "--entry", entryAddresses}).m_status == ExitOk);
    BOOST_TEST(runProgram({"take-out", "b", "--entry", entryAddresses}).m_status == ExitOk);
    BOOST_TEST(entry.version() == 2U);
    const CommandRun unreachable =
        runProgram({"show", "--entry", freeLoopbackAddress().toString()});
    BOOST_TEST(unreachable.m_status == ExitUnreachable);
}

BOOST_AUTO_TEST_CASE(each_response_to_a_change_maps_to_its_error_kind)
{
    BOOST_TEST(!parseChangeResponse({200, {}, "{\"version\":3}"}).m_failure.has_value());
    const auto errorKindOf = [](int status, const std::string &body) {
        return parseChangeResponse({status, {}, body}).m_failure.value().m_kind;
    };
    BOOST_TEST((errorKindOf(200, "nonsense") == ErrorKind::OutcomeUnknown));
    BOOST_TEST((errorKindOf(400, "{}") == ErrorKind::ConfigurationInvalid));
    BOOST_TEST((errorKindOf(409, "{}") == ErrorKind::ConfigurationConflict));
    BOOST_TEST((errorKindOf(502, "") == ErrorKind::OutcomeUnknown));
    BOOST_TEST((errorKindOf(503, "{}") == ErrorKind::PlatformUnavailable));
    BOOST_TEST((errorKindOf(503, "{\"error\":{\"kind\":\"not_ready\"}}") == ErrorKind::NotReady));
}

BOOST_AUTO_TEST_SUITE_END()
