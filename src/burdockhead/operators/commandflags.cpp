#include <burdockhead/observe/wallclock.h>
#include <burdockhead/operators/commandflags.h>
#include <burdockhead/settings/valuetext.h>

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include <algorithm>

ABSL_FLAG(std::string, settings, "", "Settings file of the process");
ABSL_FLAG(std::string, entry, "", "Operator addresses of entries, HOST:PORT, tried in order");
ABSL_FLAG(std::string, process, "", "Operator addresses of additional processes, HOST:PORT");
ABSL_FLAG(std::string, gateway, "", "Metrics addresses of gateways, HOST:PORT, tried in order");
ABSL_FLAG(std::string, base_version, "", "Fail unless this version is in force");
ABSL_FLAG(bool, yes, false, "Apply without confirmation");
ABSL_FLAG(bool, dry_run, false, "Show the difference and change nothing");
ABSL_FLAG(bool, json, false, "Print JSON lines");
ABSL_FLAG(std::string, timeout_ms, "5000", "Milliseconds to wait for a response");
ABSL_FLAG(std::string, request, "", "Only events of the request with this id");
ABSL_FLAG(std::string, workspace, "", "Only events of this workspace");
ABSL_FLAG(std::string, endpoint, "", "Only events of this endpoint");
ABSL_FLAG(std::string, event, "", "Only events of this type, such as request_retried");
ABSL_FLAG(std::string, since, "", "Only events at or after this time, such as 2026-12-03T22:10:05");
ABSL_FLAG(std::string, until, "", "Only events at or before this time");
ABSL_FLAG(std::string, first_event_ms, "400",
          "Milliseconds in which a first event or a plain answer is in time");
ABSL_FLAG(std::string, pause_ms, "120", "Longest milliseconds between two events in time");
ABSL_FLAG(bool, svg, false, "Print a bar chart as an SVG document");

namespace burdockhead {

namespace {

constexpr std::uint64_t maxTimeoutMilliseconds = 3600000;
constexpr std::uint64_t maxObjectiveMilliseconds = 3600000;

// A flag as given on the command line, before its value is parsed.
struct RawFlag
{
    std::string m_name; // Dashes are replaced by underscores.
    std::optional<std::string> m_value;
};

RawFlag parseRawFlag(const std::string &argument)
{
    const std::size_t equals = argument.find('=');
    RawFlag flag;
    flag.m_name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
    std::replace(flag.m_name.begin(), flag.m_name.end(), '-', '_');
    if (equals != std::string::npos)
        flag.m_value = argument.substr(equals + 1);
    return flag;
}

// Returns the flag if the command accepts it, otherwise a null pointer.
absl::CommandLineFlag *findFlag(const std::vector<const char *> &allowedFlags,
                                const std::string &name)
{
    const bool isAllowed =
        std::find(allowedFlags.begin(), allowedFlags.end(), name) != allowedFlags.end();
    return isAllowed ? absl::FindCommandLineFlag(name) : nullptr;
}

// Rewrites "--noname" to "--name=false" if the command accepts that Boolean flag.
void resolveNegation(RawFlag &flag, const std::vector<const char *> &allowedFlags)
{
    if (flag.m_value || !flag.m_name.starts_with("no"))
        return;
    const absl::CommandLineFlag *negated = findFlag(allowedFlags, flag.m_name.substr(2));
    if (negated == nullptr || !negated->IsOfType<bool>())
        return;
    flag = {flag.m_name.substr(2), "false"};
}

bool parseTimeFlag(const std::string &text, std::uint64_t &milliseconds)
{
    const auto time = text.empty() ? milliseconds : parseWallTime(text);
    milliseconds = time.value_or(0);
    return time.has_value();
}

bool readObjectives(OutcomeObjectives &objectives, std::string &error)
{
    const auto firstEvent =
        readNumber(absl::GetFlag(FLAGS_first_event_ms), 1, maxObjectiveMilliseconds);
    const auto pause = readNumber(absl::GetFlag(FLAGS_pause_ms), 1, maxObjectiveMilliseconds);
    if (!firstEvent || !pause)
        error = std::string("flag --") + (firstEvent ? "pause_ms" : "first_event_ms") + ": 1 to "
                + std::to_string(maxObjectiveMilliseconds) + " is expected";
    objectives = {Milliseconds(firstEvent.value_or(1)), Milliseconds(pause.value_or(1))};
    return error.empty();
}

bool readEventFilter(EventFilter &filter, std::string &error)
{
    const std::string request = absl::GetFlag(FLAGS_request);
    const std::string event = absl::GetFlag(FLAGS_event);
    filter.m_workspace = WorkspaceName(absl::GetFlag(FLAGS_workspace));
    filter.m_endpoint = EndpointName(absl::GetFlag(FLAGS_endpoint));
    filter.m_request = RequestId::parse(request);
    filter.m_type = eventTypeFromString(event);
    if (!request.empty() && !filter.m_request)
        error = "flag --request: 32 hexadecimal digits are expected";
    else if (!event.empty() && !filter.m_type)
        error = "flag --event: unknown type of event '" + event + "'";
    else if (!filter.m_workspace.empty() && !isValidName(filter.m_workspace.text()))
        error = "flag --workspace: not a name";
    else if (!filter.m_endpoint.empty() && !isValidName(filter.m_endpoint.text()))
        error = "flag --endpoint: not a name";
    else if (!parseTimeFlag(absl::GetFlag(FLAGS_since), filter.m_sinceMilliseconds))
        error = "flag --since: a time such as 2026-12-03T22:10:05 is expected";
    else if (!parseTimeFlag(absl::GetFlag(FLAGS_until), filter.m_untilMilliseconds))
        error = "flag --until: a time such as 2026-12-03T22:10:05 is expected";
    return error.empty();
}

} // namespace

std::optional<Arguments> parseFlags(const Arguments &arguments,
                                    const std::vector<const char *> &allowedFlags,
                                    std::string &error)
{
    Arguments positional;
    for (std::size_t index = 0; index < arguments.size(); ++index) {
        if (!arguments[index].starts_with("--")) {
            positional.push_back(arguments[index]);
            continue;
        }
        RawFlag rawFlag = parseRawFlag(arguments[index]);
        resolveNegation(rawFlag, allowedFlags);
        absl::CommandLineFlag *flag = findFlag(allowedFlags, rawFlag.m_name);
        if (flag == nullptr) {
            error = "unknown flag " + arguments[index];
            return std::nullopt;
        }
        if (!rawFlag.m_value && flag->IsOfType<bool>())
            rawFlag.m_value = "true";
        else if (!rawFlag.m_value && index + 1 < arguments.size())
            rawFlag.m_value = arguments[++index];
        std::string reason;
        if (!rawFlag.m_value || !flag->ParseFrom(*rawFlag.m_value, &reason)) {
            error =
                "flag --" + rawFlag.m_name
                + (rawFlag.m_value ? ": bad value '" + *rawFlag.m_value + "'" : " needs a value");
            return std::nullopt;
        }
    }
    return positional;
}

std::optional<CommandOptions> readCommandOptions(std::string &error)
{
    CommandOptions options;
    options.m_settingsFile = absl::GetFlag(FLAGS_settings);
    options.m_yes = absl::GetFlag(FLAGS_yes);
    options.m_dryRun = absl::GetFlag(FLAGS_dry_run);
    options.m_json = absl::GetFlag(FLAGS_json);
    const std::string baseVersion = absl::GetFlag(FLAGS_base_version);
    options.m_baseVersion = readNumber(baseVersion, 0, std::numeric_limits<std::uint64_t>::max());
    const auto timeout = readNumber(absl::GetFlag(FLAGS_timeout_ms), 1, maxTimeoutMilliseconds);
    options.m_timeout = Milliseconds(timeout.value_or(0));
    if (!readValue(absl::GetFlag(FLAGS_entry), options.m_entries))
        error = std::string("flag --entry: allowed: ") + allowedAddressList;
    else if (!readValue(absl::GetFlag(FLAGS_process), options.m_processes))
        error = std::string("flag --process: allowed: ") + allowedAddressList;
    else if (!readValue(absl::GetFlag(FLAGS_gateway), options.m_gateways))
        error = std::string("flag --gateway: allowed: ") + allowedAddressList;
    else if (!baseVersion.empty() && !options.m_baseVersion)
        error = "flag --base_version: a whole number is expected";
    else if (!timeout)
        error =
            "flag --timeout_ms: 1 to " + std::to_string(maxTimeoutMilliseconds) + " is expected";
    options.m_svg = absl::GetFlag(FLAGS_svg);
    if (!error.empty() || !readEventFilter(options.m_filter, error)
        || !readObjectives(options.m_objectives, error))
        return std::nullopt;
    return options;
}

std::string flagHelp(std::string_view name)
{
    const absl::CommandLineFlag *flag = absl::FindCommandLineFlag(std::string(name));
    if (flag == nullptr)
        return {};
    std::string line = "  --" + std::string(name);
    line.resize(std::max<std::size_t>(line.size() + 1, 18), ' ');
    line += flag->Help();
    const std::string value = flag->DefaultValue();
    if (!value.empty() && value != "false")
        line += " (default " + value + ")";
    return line + "\n";
}

} // namespace burdockhead
