#include <burdockhead/operators/exitcode.h>
#include <burdockhead/operators/processcommands.h>
#include <burdockhead/operators/textfile.h>
#include <burdockhead/settings/settingstext.h>

#include <ostream>

namespace burdockhead {

namespace {

// Parses the text of a settings file; the second argument is the file's name.
template <typename Settings>
using SettingsParser = std::optional<Settings> (*)(const std::string &, const std::string &,
                                                   Diagnostics &);

template <typename Settings>
int runProcess(CommandContext &context, SettingsParser<Settings> parse,
               const std::function<int(const Settings &)> &run)
{
    const std::string &fileName = context.m_options.m_settingsFile;
    if (fileName.empty()) {
        context.m_err << "burdockhead: flag --settings is missing\n";
        return ExitUsage;
    }
    const auto text = readTextFile(fileName);
    if (!text) {
        context.m_err << fileName << ": cannot read the file\n";
        return ExitFailed;
    }
    Diagnostics diagnostics;
    const auto settings = parse(*text, fileName, diagnostics);
    if (!settings) {
        context.m_err << toString(diagnostics);
        return ExitInvalidConfiguration;
    }
    return run(*settings);
}

} // namespace

int runEntryCommand(CommandContext &context, const ProcessRunners &runners)
{
    return runProcess<EntrySettings>(context, parseEntrySettings, runners.m_runEntry);
}

int runAgentCommand(CommandContext &context, const ProcessRunners &runners)
{
    return runProcess<AgentSettings>(context, parseAgentSettings, runners.m_runAgent);
}

int runRankAgentCommand(CommandContext &context, const ProcessRunners &runners)
{
    return runProcess<RankAgentSettings>(context, parseRankAgentSettings, runners.m_runRankAgent);
}

int runGatewayCommand(CommandContext &context, const ProcessRunners &runners)
{
    const std::string fileName = context.m_options.m_settingsFile;
    const ReadGatewaySettings reloadSettings = [fileName] {
        Diagnostics diagnostics;
        return parseGatewaySettings(readTextFile(fileName).value_or(""), fileName, diagnostics);
    };
    return runProcess<GatewaySettings>(context, parseGatewaySettings,
                                       [&](const GatewaySettings &settings) {
                                           return runners.m_runGateway(settings, reloadSettings);
                                       });
}

} // namespace burdockhead
