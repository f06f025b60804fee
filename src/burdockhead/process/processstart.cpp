#include <burdockhead/platform/httpobjectapi.h>
#include <burdockhead/process/processstart.h>
#include <burdockhead/process/resourcelimits.h>
#include <burdockhead/settings/configurationtext.h>

#include <chrono>
#include <random>

namespace burdockhead {

Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch);
    return {static_cast<std::uint64_t>(micros.count())};
}

std::uint64_t systemSeed()
{
    std::random_device device;
    constexpr unsigned bitsPerDraw = 32;
    return (static_cast<std::uint64_t>(device()) << bitsPerDraw) | device();
}

ConfigurationParser configurationParser()
{
    return [](const std::string &text, Failure &failure) -> std::optional<Configuration> {
        Diagnostics diagnostics;
        auto parsed = parseConfiguration(text, "configuration", diagnostics);
        if (!parsed)
            failure = {ErrorKind::ConfigurationInvalid, toString(diagnostics)};
        return parsed;
    };
}

MembershipOptions membershipOptions(const ProcessSettings &settings, VmRole role,
                                    Incarnation incarnation)
{
    MembershipOptions options;
    options.m_name = settings.m_name;
    options.m_role = role;
    options.m_dataCentre = settings.m_dataCentre;
    options.m_controlAddress = settings.m_control;
    options.m_operatorAddress = settings.m_operators;
    options.m_maxControlConnections =
        clientBudgetLimits(settings.m_resources, PortKind::Control).m_maxConnections;
    options.m_incarnation = incarnation;
    options.m_platform =
        std::make_shared<HttpObjectApi>(std::vector<std::string>{settings.m_platform.m_text});
    for (const SocketAddress &seed : settings.m_seeds)
        options.m_seeds.push_back({ProcessName(seed.toString()), VmRole::Entry, {}, seed, false});
    options.m_parser = configurationParser();
    return options;
}

} // namespace burdockhead
