#include <burdockhead/settings/keybinding.h>
#include <burdockhead/settings/settingstext.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr std::uint64_t maxMilliseconds = 24ULL * 60 * 60 * 1000;
constexpr std::uint64_t maxSeconds = 24ULL * 60 * 60;
constexpr double maxRatio = 100;
constexpr std::uint64_t maxCount = 1000000;
constexpr std::uint64_t maxBodyBytes = 1ULL << 30;
constexpr std::uint64_t maxMegabytes = 1ULL << 20;

// A section of a settings file with its key bindings.
template <typename Settings>
struct SectionBinding
{
    std::string m_type;
    bool m_required = false;
    std::vector<KeyBinding<Settings>> m_keys;
};

bool isPath(const std::string &text)
{
    return text.starts_with('/') && text.find_first_of(" ?#") == std::string::npos;
}

bool isHeaderName(const std::string &text)
{
    return isValidName(text);
}

template <typename Settings>
using SectionBindings = std::vector<SectionBinding<Settings>>;

// Adapts a binding of a nested struct to the settings that contain the struct.
template <typename Settings, typename Nested>
KeyBinding<Settings> bindNested(Nested Settings::*nested, const KeyBinding<Nested> &nestedBinding)
{
    return {nestedBinding.m_key,
            nestedBinding.m_allowed,
            nestedBinding.m_meaning,
            nestedBinding.m_required,
            [nested, nestedBinding](const std::string &text, Settings &settings) {
                return nestedBinding.m_read(text, settings.*nested);
            },
            [nested, nestedBinding](const Settings &settings) {
                return nestedBinding.m_print(settings.*nested);
            }};
}

template <typename Settings, typename Number>
KeyBinding<Settings> bindLimit(const std::string &key, Number ProcessLimits::*member,
                               std::uint64_t low, std::uint64_t high, const std::string &meaning)
{
    return bindNested<Settings, ProcessLimits>(
        &Settings::m_limits, bindNumber<ProcessLimits>(key, member, low, high, meaning));
}

// The keys of a section on what a process may use of its VM.
template <typename Settings>
std::vector<KeyBinding<Settings>> resourceKeys()
{
    using L = ResourceLimits;
    const auto bind = [](const KeyBinding<L> &nestedBinding) {
        return bindNested<Settings, L>(&Settings::m_resources, nestedBinding);
    };
    return {
        bind(bindNumber<L>("memory_mb", &L::m_memoryMegabytes, 1, maxMegabytes,
                           "Memory of the VM that the process may use; a quarter of it is for "
                           "requests that clients have sent, an eighth for responses that they "
                           "don't read")
                 .orDefault()),
        bind(bindNumber<L>("max_descriptors", &L::m_maxDescriptors, 0, maxCount,
                           "Open descriptors, three quarters of which are for clients; 0 for as "
                           "many as the system allows")
                 .orDefault())};
}

template <typename Settings>
SectionBinding<Settings> processSection()
{
    using S = Settings;
    return {
        "process",
        true,
        {bindKey<S>("name", &S::m_name, allowedName, "The unique name of the process").required(),
         bindKey<S>("data_centre", &S::m_dataCentre, allowedName,
                    "The data centre that the process runs in")
             .required(),
         bindKey<S>("log_level", &S::m_logLevel, "debug, info, warning or error",
                    "The lowest level that is logged")}};
}

template <typename Settings>
SectionBinding<Settings> listenSection()
{
    using S = Settings;
    return {
        "listen",
        true,
        {bindKey<S>("operators", &S::m_operators, allowedAddress,
                    "Health, readiness, metrics, timeline and configuration")
             .required(),
         bindKey<S>("control", &S::m_control, allowedAddress, "Control messages between processes")
             .required()}};
}

template <typename Settings>
SectionBinding<Settings> platformSection()
{
    return {"platform",
            true,
            {bindKey<Settings>("url", &Settings::m_platform,
                               "http://IP-NUMBER:PORT without a slash at the end",
                               "The platform's object API")
                 .required()}};
}

template <typename Settings>
SectionBinding<Settings> limitsSection()
{
    using S = Settings;
    using L = ProcessLimits;
    SectionBinding<S> section = {
        "limits",
        false,
        {bindLimit<S>("max_body_bytes", &L::m_maxBodyBytes, 1, maxBodyBytes,
                      "Bytes of a request's body"),
         bindLimit<S>("max_header_count", &L::m_maxHeaderCount, 1, maxCount,
                      "Header fields of a request"),
         bindLimit<S>("max_connections", &L::m_maxConnections, 1, maxCount,
                      "Open connections on a port"),
         bindLimit<S>("max_waiting_requests", &L::m_maxWaitingRequests, 0, maxCount,
                      "Requests that may be queued in the process"),
         bindLimit<S>("answer_hold_ms", &L::m_addressLifetime, 1, maxMilliseconds,
                      "How long clients may cache a response with addresses"),
         bindLimit<S>("drain_ms", &L::m_drainTimeout, 0, maxMilliseconds,
                      "How long a shutdown waits for requests in flight")}};
    for (const auto &binding : resourceKeys<S>())
        section.m_keys.push_back(binding);
    return section;
}

template <typename Settings>
SectionBinding<Settings> seedsSection()
{
    return {
        "seeds",
        false,
        {bindKey<Settings>("control", &Settings::m_seeds, allowedAddressList,
                           "Control addresses to contact for joining when the platform is down")}};
}

const SectionBindings<EntrySettings> &sectionBindings(const EntrySettings *)
{
    using S = EntrySettings;
    static const SectionBindings<S> bindings = [] {
        SectionBinding<S> listen = listenSection<S>();
        listen.m_keys.push_back(
            bindKey<S>("callers", &S::m_callers, allowedAddress, "Requests from callers")
                .required());
        return SectionBindings<S>{processSection<S>(), listen, platformSection<S>(),
                                  limitsSection<S>(), seedsSection<S>()};
    }();
    return bindings;
}

SectionBinding<AgentSettings> endpointSection()
{
    using S = AgentSettings;
    return {
        "endpoint",
        true,
        {bindKey<S>("name", &S::m_endpoint, allowedName,
                    "The endpoint, as the configuration names it")
             .required(),
         bindKey<S>("url", &S::m_endpointUrl, "http://IP-NUMBER:PORT without a slash at the end",
                    "The base URL of the endpoint on this VM")
             .required(),
         bindText<S>("probe_path", &S::m_probePath, isPath, "a path that starts with '/'",
                     "The path of the endpoint's health check"),
         bindText<S>("boot_id_header", &S::m_bootIdHeader, isHeaderName,
                     "the name of a header field",
                     "The response header whose change means that the endpoint restarted")}};
}

const SectionBindings<AgentSettings> &sectionBindings(const AgentSettings *)
{
    using S = AgentSettings;
    static const SectionBindings<S> bindings = [] {
        SectionBinding<S> listen = listenSection<S>();
        listen.m_keys.push_back(
            bindKey<S>("link", &S::m_link, allowedAddress, "Requests from entries").required());
        return SectionBindings<S>{processSection<S>(),  listen,
                                  platformSection<S>(), endpointSection(),
                                  limitsSection<S>(),   seedsSection<S>()};
    }();
    return bindings;
}

SectionBinding<GatewaySettings> gatewayListenSection()
{
    using S = GatewaySettings;
    return {
        "listen",
        true,
        {bindKey<S>("clients", &S::m_clients, allowedAddress, "Requests from clients").required(),
         bindKey<S>("readiness", &S::m_readiness, allowedAddress,
                    "Readiness checks: whether the gateway accepts requests")
             .required(),
         bindKey<S>("directory", &S::m_directory, allowedAddress,
                    "Requests from clients for the addresses of gateways")
             .required(),
         bindKey<S>("peers", &S::m_peers, allowedAddress,
                    "Datagrams from other gateways, and orders to engines relayed for agents")
             .required(),
         bindKey<S>("metrics", &S::m_metrics, allowedAddress,
                    "Metrics in the Prometheus text format")
             .required()}};
}

SectionBinding<GatewaySettings> boundsSection()
{
    using S = GatewaySettings;
    using B = GatewayBounds;
    const auto bindBound = [](const KeyBinding<B> &nestedBinding) {
        return bindNested<S, B>(&S::m_bounds, nestedBinding);
    };
    return {"bounds",
            false,
            {bindBound(bindFraction<B>("retry_ratio", &B::m_retryRatio, maxRatio,
                                       "Retries allowed per request of a service")),
             bindBound(
                 bindFraction<B>("retry_burst", &B::m_retryBurst, maxCount,
                                 "Retries per window that all gateways together may always make")),
             bindBound(bindDuration<B>("retry_window_s", &B::m_retryWindow, Seconds(1), 1,
                                       maxSeconds, "The window in which retries are counted")),
             bindBound(
                 bindFraction<B>("cold_burst", &B::m_coldBurst, maxRatio,
                                 "Multiple of the declared rate that a cold endpoint may receive")),
             bindBound(bindDuration<B>(
                 "leave_ms", &B::m_leaveTime, Milliseconds(1), 0, maxMilliseconds,
                 "How long an endpoint may still get requests after its entry is removed")),
             bindBound(bindDuration<B>("stop_grace_s", &B::m_stopGrace, Seconds(1), 1, maxSeconds,
                                       "How long a shutdown may take"))}};
}

template <typename Settings>
SectionBinding<Settings> storeSection()
{
    return {
        "store",
        true,
        {bindKey<Settings>("address", &Settings::m_store, allowedAddress, "The platform's store")
             .required()}};
}

const SectionBindings<RankAgentSettings> &sectionBindings(const RankAgentSettings *)
{
    using S = RankAgentSettings;
    static const SectionBindings<S> bindings = {
        processSection<S>(),
        {"listen",
         true,
         {bindKey<S>("agents", &S::m_agents, allowedAddress, "Other agents, and metrics")
              .required()}},
        {"endpoint",
         true,
         {bindKey<S>("address", &S::m_endpoint, allowedAddress,
                     "The address of the rank on this VM")
              .required(),
          bindKey<S>("service", &S::m_service, allowedName, "The service that the rank belongs to")
              .required()}},
        storeSection<S>(),
        {"seeds",
         false,
         {bindKey<S>("gateways", &S::m_gateways, allowedAddressList,
                     "Peer addresses of gateways that relay orders")}},
        {"limits", false, resourceKeys<S>()}};
    return bindings;
}

const SectionBindings<GatewaySettings> &sectionBindings(const GatewaySettings *)
{
    using S = GatewaySettings;
    static const SectionBindings<S> bindings = {
        processSection<S>(),
        gatewayListenSection(),
        storeSection<S>(),
        {"seeds",
         false,
         {bindKey<S>("peers", &S::m_seeds, allowedAddressList,
                     "Peer addresses of gateways to contact for joining"),
          bindKey<S>("first_start", &S::m_isFirstStart, "true or false",
                     "Whether no gateway has run here before: retries then need not wait until "
                     "those of its predecessor are outside of the window")}},
        boundsSection(),
        {"limits", false, resourceKeys<S>()}};
    return bindings;
}

template <typename Settings>
std::string sectionTypes(const SectionBindings<Settings> &bindings)
{
    std::string types;
    for (const auto &binding : bindings)
        types += (types.empty() ? "[" : ", [") + binding.m_type + "]";
    return types;
}

template <typename Settings>
void readSection(const IniSection &section, const std::string &fileName, Settings &settings,
                 Diagnostics &diagnostics)
{
    const auto &bindings = sectionBindings(&settings);
    const auto found = std::find_if(bindings.begin(), bindings.end(), [&](const auto &binding) {
        return binding.m_type == section.m_type && section.m_name.empty();
    });
    if (found == bindings.end()) {
        diagnostics.push_back({fileName, section.m_line, section.heading(), "", "unknown section",
                               sectionTypes(bindings)});
        return;
    }
    readKeys(section, fileName, found->m_keys, settings, diagnostics);
}

template <typename Settings>
std::optional<Settings> parseSettings(const std::string &text, const std::string &fileName,
                                      Diagnostics &diagnostics)
{
    const std::size_t initialCount = diagnostics.size();
    const IniDocument document = readIniDocument(text, fileName, diagnostics);
    Settings settings;
    for (const IniSection &section : document.m_sections)
        readSection(section, fileName, settings, diagnostics);
    for (const auto &binding : sectionBindings(&settings)) {
        const bool isPresent =
            std::any_of(document.m_sections.begin(), document.m_sections.end(),
                        [&](const auto &section) { return section.m_type == binding.m_type; });
        if (binding.m_required && !isPresent)
            diagnostics.push_back({fileName, 0, binding.m_type, "", "the section is missing",
                                   "[" + binding.m_type + "]"});
    }
    if (diagnostics.size() != initialCount)
        return std::nullopt;
    return settings;
}

template <typename Settings>
std::string printSections(const Settings &settings)
{
    std::string text;
    for (const auto &binding : sectionBindings(&settings)) {
        text += (text.empty() ? "[" : "\n[") + binding.m_type + "]\n";
        text += printKeys(binding.m_keys, settings);
    }
    return text;
}

template <typename Settings>
std::vector<KeyDescription> describeSections()
{
    std::vector<KeyDescription> descriptions;
    for (const auto &binding : sectionBindings(static_cast<const Settings *>(nullptr)))
        describeKeys(binding.m_type, binding.m_keys, descriptions);
    return descriptions;
}

} // namespace

std::optional<EntrySettings>
parseEntrySettings(const std::string &text, const std::string &fileName, Diagnostics &diagnostics)
{
    return parseSettings<EntrySettings>(text, fileName, diagnostics);
}

std::optional<AgentSettings>
parseAgentSettings(const std::string &text, const std::string &fileName, Diagnostics &diagnostics)
{
    return parseSettings<AgentSettings>(text, fileName, diagnostics);
}

std::optional<GatewaySettings>
parseGatewaySettings(const std::string &text, const std::string &fileName, Diagnostics &diagnostics)
{
    return parseSettings<GatewaySettings>(text, fileName, diagnostics);
}

std::optional<RankAgentSettings> parseRankAgentSettings(const std::string &text,
                                                        const std::string &fileName,
                                                        Diagnostics &diagnostics)
{
    return parseSettings<RankAgentSettings>(text, fileName, diagnostics);
}

std::string printSettings(const RankAgentSettings &settings)
{
    return printSections(settings);
}

std::string printSettings(const EntrySettings &settings)
{
    return printSections(settings);
}

std::string printSettings(const AgentSettings &settings)
{
    return printSections(settings);
}

std::string printSettings(const GatewaySettings &settings)
{
    return printSections(settings);
}

std::vector<KeyDescription> entrySettingsKeys()
{
    return describeSections<EntrySettings>();
}

std::vector<KeyDescription> agentSettingsKeys()
{
    return describeSections<AgentSettings>();
}

std::vector<KeyDescription> rankAgentSettingsKeys()
{
    return describeSections<RankAgentSettings>();
}

std::vector<KeyDescription> gatewaySettingsKeys()
{
    return describeSections<GatewaySettings>();
}

} // namespace burdockhead
