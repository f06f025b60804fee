#include <burdockhead/operators/configurationclient.h>
#include <burdockhead/operators/configurationcommands.h>
#include <burdockhead/operators/configurationdifference.h>
#include <burdockhead/operators/exitcode.h>
#include <burdockhead/operators/initextedit.h>
#include <burdockhead/operators/textfile.h>
#include <burdockhead/settings/configurationtext.h>

#include <istream>
#include <ostream>

namespace burdockhead {

namespace {

constexpr int maxWriteAttempts = 5;

int exitCodeFor(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::ConfigurationInvalid:
        return ExitInvalidConfiguration;
    case ErrorKind::ConfigurationConflict:
        return ExitConflict;
    case ErrorKind::PeerUnreachable:
    case ErrorKind::PlatformUnavailable:
    case ErrorKind::DeadlineExceeded:
    case ErrorKind::EndpointFailed:
    case ErrorKind::NotReady:
    case ErrorKind::NotCurrent:
    case ErrorKind::OutcomeUnknown:
        return ExitUnreachable;
    default:
        return ExitFailed;
    }
}

int reportFailure(CommandContext &context, const Failure &failure)
{
    context.m_err << toString(failure.m_kind) << ": " << failure.m_reason << "\n";
    return exitCodeFor(failure.m_kind);
}

bool requireEntryFlag(CommandContext &context)
{
    if (context.m_options.m_entries.empty())
        context.m_err << "burdockhead: flag --entry is missing\n";
    return !context.m_options.m_entries.empty();
}

bool confirmChange(CommandContext &context)
{
    if (context.m_options.m_yes)
        return true;
    context.m_out << "Apply? [y/N] " << std::flush;
    std::string reply;
    std::getline(context.m_in, reply);
    return reply == "y" || reply == "yes";
}

// Prints the concurrent changes made since the base state.
int reportConflict(CommandContext &context, ConfigurationClient &client,
                   const ConfigurationState &base)
{
    context.m_err << "configuration_conflict: version " << base.m_version
                  << " is no longer in force; nothing was changed\n";
    Failure failure;
    const auto current = client.readAfterConflict(failure);
    if (!current)
        return ExitConflict;
    context.m_err << "Version " << current->m_version << " is in force and differs in:\n"
                  << configurationDifference(base.m_text, current->m_text);
    return ExitConflict;
}

int reportApplied(CommandContext &context, std::uint64_t version)
{
    context.m_out << "Version " << version << " is in force.\n";
    return ExitOk;
}

int applyText(CommandContext &context, ConfigurationClient &client, const ConfigurationState &base,
              const std::string &text)
{
    Failure failure;
    const auto version = client.write(base.m_version, text, failure);
    if (version)
        return reportApplied(context, *version);
    if (failure.m_kind == ErrorKind::ConfigurationConflict)
        return reportConflict(context, client, base);
    return reportFailure(context, failure);
}

int applyFile(CommandContext &context, const std::string &text)
{
    ConfigurationClient client(context.m_options.m_entries, context.m_options.m_timeout);
    Failure failure;
    const auto base = client.read(failure);
    if (!base)
        return reportFailure(context, failure);
    const std::string difference = configurationDifference(base->m_text, text);
    context.m_out << "Changes to version " << base->m_version << ":\n"
                  << (difference.empty() ? "  none\n" : difference);
    const std::uint64_t expected = context.m_options.m_baseVersion.value_or(base->m_version);
    if (expected != base->m_version) {
        context.m_err << "configuration_conflict: the change is based on version " << expected
                      << ", but version " << base->m_version << " is in force\n";
        return ExitConflict;
    }
    if (context.m_options.m_dryRun || difference.empty())
        return ExitOk;
    if (!confirmChange(context)) {
        context.m_err << "Nothing was changed.\n";
        return ExitFailed;
    }
    return applyText(context, client, *base, text);
}

// Attempts once to set the state of a data centre and returns the exit status. Returns none
// when the configuration was changed between reading and writing.
std::optional<int> trySetDataCentreState(CommandContext &context, ConfigurationClient &client,
                                         const ConfigurationState &base, const std::string &state)
{
    const std::string &name = context.m_arguments.front();
    const auto text = setIniValue(base.m_text, "data_centre " + name, "state", state);
    if (!text) {
        context.m_err << "No data centre is named '" << name << "'.\n";
        return ExitFailed;
    }
    const std::string difference = configurationDifference(base.m_text, *text);
    context.m_out << "Changes to version " << base.m_version << ":\n"
                  << (difference.empty() ? "  none\n" : difference);
    if (context.m_options.m_dryRun || difference.empty())
        return ExitOk;
    Failure failure;
    const auto version = client.write(base.m_version, *text, failure);
    if (version)
        return reportApplied(context, *version);
    if (failure.m_kind == ErrorKind::ConfigurationConflict)
        return std::nullopt;
    return reportFailure(context, failure);
}

int setDataCentreState(CommandContext &context, const std::string &state)
{
    if (!requireEntryFlag(context))
        return ExitUsage;
    ConfigurationClient client(context.m_options.m_entries, context.m_options.m_timeout);
    Failure failure;
    auto base = client.read(failure);
    for (int attempt = 0; base && attempt < maxWriteAttempts; ++attempt) {
        const auto status = trySetDataCentreState(context, client, *base, state);
        if (status)
            return *status;
        base = client.readAfterConflict(failure);
    }
    if (!base)
        return reportFailure(context, failure);
    context.m_err << "configuration_conflict: the configuration keeps changing concurrently\n";
    return ExitConflict;
}

} // namespace

int runShowCommand(CommandContext &context)
{
    if (!requireEntryFlag(context))
        return ExitUsage;
    ConfigurationClient client(context.m_options.m_entries, context.m_options.m_timeout);
    Failure failure;
    const auto state = client.read(failure);
    if (!state)
        return reportFailure(context, failure);
    context.m_out << "; version " << state->m_version << "\n" << state->m_text;
    return ExitOk;
}

int runApplyCommand(CommandContext &context)
{
    if (!requireEntryFlag(context))
        return ExitUsage;
    const std::string &fileName = context.m_arguments.front();
    const auto text = readTextFile(fileName);
    if (!text) {
        context.m_err << fileName << ": cannot read the file\n";
        return ExitFailed;
    }
    Diagnostics diagnostics;
    if (!parseConfiguration(*text, fileName, diagnostics)) {
        context.m_err << toString(diagnostics);
        return ExitInvalidConfiguration;
    }
    return applyFile(context, *text);
}

int runTakeOutCommand(CommandContext &context)
{
    return setDataCentreState(context, "out");
}

int runBringBackCommand(CommandContext &context)
{
    return setDataCentreState(context, "in");
}

} // namespace burdockhead
