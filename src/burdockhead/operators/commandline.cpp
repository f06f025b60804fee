#include <burdockhead/operators/checkcommand.h>
#include <burdockhead/operators/commandline.h>
#include <burdockhead/operators/configurationcommands.h>
#include <burdockhead/operators/exitcode.h>
#include <burdockhead/operators/explaincommand.h>
#include <burdockhead/operators/processcommands.h>
#include <burdockhead/operators/quarantinecommands.h>
#include <burdockhead/operators/summarycommand.h>
#include <burdockhead/operators/timelinecommand.h>

#include <algorithm>
#include <ostream>

namespace burdockhead {

namespace {

constexpr std::size_t maxArgumentCount = 1000;

constexpr const char *exitCodeHelp =
    "Exit status: 0 done, 1 failed, 2 wrong usage, 3 invalid settings or configuration,\n"
    "4 conflict with another change, 5 no response from an entry or the platform.\n";

const Command *findCommand(const std::vector<Command> &commands, const std::string &name)
{
    const auto found = std::find_if(commands.begin(), commands.end(),
                                    [&](const Command &command) { return name == command.m_name; });
    return found == commands.end() ? nullptr : &*found;
}

void printProgramHelp(const std::vector<Command> &commands, std::ostream &out)
{
    out << "Usage: burdockhead COMMAND [FLAGS] [ARGUMENTS]\n\nCommands:\n";
    for (const Command &command : commands) {
        std::string line = std::string("  ") + command.m_name;
        line.resize(18, ' ');
        out << line << command.m_help << "\n";
    }
    out << "\nburdockhead COMMAND --help lists the flags of a command.\n"
        << "burdockhead --version prints the version.\n\n"
        << exitCodeHelp;
}

void printCommandHelp(const Command &command, std::ostream &out)
{
    out << "Usage: burdockhead " << command.m_name << " [FLAGS] " << command.m_argumentHelp
        << "\n\n"
        << command.m_help << "\n\nFlags:\n";
    for (const char *flag : command.m_flags)
        out << flagHelp(flag);
    out << "\n" << exitCodeHelp;
}

int reportUsageError(std::ostream &err, const std::string &reason)
{
    err << "burdockhead: " << reason << "; see burdockhead --help\n";
    return ExitUsage;
}

bool hasHelpFlag(const Arguments &arguments)
{
    return std::find(arguments.begin(), arguments.end(), "--help") != arguments.end();
}

int runCommand(const Command &command, const Arguments &arguments, std::istream &in,
               std::ostream &out, std::ostream &err)
{
    std::string error;
    const auto positional = parseFlags(arguments, command.m_flags, error);
    if (!positional)
        return reportUsageError(err, std::string(command.m_name) + ": " + error);
    const auto options = readCommandOptions(error);
    if (!options)
        return reportUsageError(err, std::string(command.m_name) + ": " + error);
    if (positional->size() < command.m_minArguments)
        return reportUsageError(err, std::string(command.m_name) + ": missing "
                                         + command.m_argumentHelp);
    if (positional->size() > command.m_maxArguments)
        return reportUsageError(err, std::string(command.m_name) + ": unknown argument '"
                                         + (*positional)[command.m_maxArguments] + "'");
    CommandContext context = {*options, *positional, in, out, err};
    return command.m_run(context);
}

} // namespace

std::vector<Command> programCommands(const ProcessRunners &runners)
{
    const auto runEntry = [runners](CommandContext &context) {
        return runEntryCommand(context, runners);
    };
    const auto runAgent = [runners](CommandContext &context) {
        return runAgentCommand(context, runners);
    };
    const auto runGateway = [runners](CommandContext &context) {
        return runGatewayCommand(context, runners);
    };
    const auto runRankAgent = [runners](CommandContext &context) {
        return runRankAgentCommand(context, runners);
    };
    return {
        {"entry",
         "",
         "Runs an entry, which accepts requests from callers",
         {"settings"},
         0,
         0,
         runEntry},
        {"agent", "", "Runs the agent of an endpoint", {"settings"}, 0, 0, runAgent},
        {"gateway",
         "",
         "Runs a gateway, which forwards requests to endpoints without agents",
         {"settings"},
         0,
         0,
         runGateway},
        {"rank-agent",
         "",
         "Runs the agent of a rank, which balances the experts of its group",
         {"settings"},
         0,
         0,
         runRankAgent},
        {"check",
         "FILE...",
         "Validates settings files and configurations",
         {},
         1,
         maxArgumentCount,
         runCheckCommand},
        {"apply",
         "FILE",
         "Shows the changes of a configuration and applies it",
         {"entry", "base_version", "yes", "dry_run", "timeout_ms"},
         1,
         1,
         runApplyCommand},
        {"show",
         "",
         "Prints the configuration in force",
         {"entry", "timeout_ms"},
         0,
         0,
         runShowCommand},
        {"take-out",
         "DATA-CENTRE",
         "Takes a data centre out of service",
         {"entry", "dry_run", "timeout_ms"},
         1,
         1,
         runTakeOutCommand},
        {"bring-back",
         "DATA-CENTRE",
         "Brings a data centre back into service",
         {"entry", "dry_run", "timeout_ms"},
         1,
         1,
         runBringBackCommand},
        {"quarantines",
         "",
         "Prints the prompt parts that a gateway refuses or suspects, since endpoints crashed",
         {"gateway", "timeout_ms"},
         0,
         0,
         runQuarantinesCommand},
        {"lift-quarantine",
         "SERVICE PART",
         "Lifts the quarantine of a prompt part at all gateways",
         {"gateway", "timeout_ms"},
         2,
         2,
         runLiftQuarantineCommand},
        {"explain",
         "REQUEST LOG-FILE...",
         "Traces one request through the logs of all processes",
         {},
         2,
         maxArgumentCount,
         runExplainCommand},
        {"summary",
         "LOG-FILE...",
         "Summarizes how requests ended, by second, and what made them late",
         {"first_event_ms", "pause_ms", "svg"},
         1,
         maxArgumentCount,
         runSummaryCommand},
        {"timeline",
         "",
         "Prints a merged timeline of events from all processes",
         {"entry", "process", "timeout_ms", "json", "request", "workspace", "endpoint", "event",
          "since", "until"},
         0,
         0,
         runTimelineCommand},
    };
}

int runCommandLine(const std::vector<Command> &commands, const Arguments &arguments,
                   std::istream &in, std::ostream &out, std::ostream &err)
{
    if (arguments.empty())
        return reportUsageError(err, "no command");
    if (arguments.front() == "--help") {
        printProgramHelp(commands, out);
        return ExitOk;
    }
    if (arguments.front() == "--version") {
        out << "burdockhead " BURDOCKHEAD_VERSION "\n";
        return ExitOk;
    }
    const Command *command = findCommand(commands, arguments.front());
    if (command == nullptr)
        return reportUsageError(err, "unknown command or flag '" + arguments.front() + "'");
    const Arguments commandArguments(arguments.begin() + 1, arguments.end());
    if (hasHelpFlag(commandArguments)) {
        printCommandHelp(*command, out);
        return ExitOk;
    }
    return runCommand(*command, commandArguments, in, out, err);
}

} // namespace burdockhead
