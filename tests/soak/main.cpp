#include "entryworld.h"
#include "rankworld.h"
#include "soakworld.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iostream>
#include <optional>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// The time without faults at the end, in which service has to be back.
constexpr Milliseconds calm{7000};
// The last part of it, and what has to be served there.
constexpr Milliseconds judged{2000};
constexpr double leastServed = 0.9;
// In one of this many seeds endpoints crash on a part of a prompt.
constexpr std::uint64_t fatalSeedDivisor = 3;
// In one of this many others endpoints send responses twice.
constexpr std::uint64_t repeatSeedDivisor = 2;
// In one of this many seeds the store comes back from an older copy.
constexpr std::uint64_t restoreSeedDivisor = 4;
constexpr Milliseconds restoreCalm{10000};

// Ranks settle after all faults, and the map has to follow a last shift of the demand.
constexpr Milliseconds rankCalm{10000};

// Entries and agents find one another, and cold engines warm up.
constexpr Milliseconds entryCalm{12000};

struct SoakOptions
{
    std::uint64_t m_seed = 1;
    Milliseconds m_span{0};
    std::size_t m_size = 0; // Number of gateways, of ranks, or of endpoints in a data centre.
    std::filesystem::path m_folder;
};

struct SoakResult
{
    std::vector<Fault> m_faults;
    std::vector<std::string> m_violations;
    std::filesystem::path m_folder; // Settings and logs.
};

std::optional<std::string_view> flag(const std::vector<std::string_view> &arguments,
                                     std::string_view name)
{
    for (const std::string_view argument : arguments) {
        if (argument.starts_with(name))
            return argument.substr(name.size());
    }
    return std::nullopt;
}

std::uint64_t numberFlag(const std::vector<std::string_view> &arguments, std::string_view name,
                         std::uint64_t fallback)
{
    const std::string_view digits = flag(arguments, name).value_or("");
    std::uint64_t value = fallback;
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return value;
}

// Checks what every run of gateways has to keep.
void checkGateways(const SoakWorld &world, Milliseconds span, SoakResult &result)
{
    result.m_violations = world.book().violations();
    for (const std::string &end : world.unexpectedEnds())
        result.m_violations.push_back(end);
    const double served =
        world.book().servedSince(world.startedAt() + span - judged, world.credential());
    if (served < leastServed)
        result.m_violations.push_back("after the last fault only " + std::to_string(served)
                                      + " of the requests were served");
    std::cout << world.book().requests() << " requests, " << world.book().served() << " served, "
              << world.book().fatalCrashes() << " crashes on a part, at the end " << served;
}

SoakResult soakGateways(const SoakOptions &options)
{
    SoakResult result;
    result.m_folder = options.m_folder;
    result.m_faults =
        planSoak(options.m_seed, faultTypes(FaultType::KillGateway, FaultType::RevokeCredential),
                 options.m_span, calm);
    SoakWorld world(options.m_seed, options.m_size, options.m_folder);
    if (options.m_seed % fatalSeedDivisor == 0)
        world.sendFatalPart();
    else if (options.m_seed % repeatSeedDivisor == 1) {
        world.repeatResponses();
        world.sendEndlessAnswers();
    }
    // What a restore may have lost is held for some time after a gateway has noticed it.
    const bool isRestored = options.m_seed % restoreSeedDivisor == 0;
    const Milliseconds wholeSpan = options.m_span + (isRestored ? restoreCalm : Milliseconds(0));
    if (isRestored)
        world.restoreStore();
    world.run(result.m_faults, wholeSpan);
    checkGateways(world, wholeSpan, result);
    return result;
}

// The store itself is sound, so that undisturbed gateways have to know its changes in time.
SoakResult soakSilences(const SoakOptions &options)
{
    SoakResult result;
    result.m_folder = options.m_folder;
    std::vector<FaultType> types = faultTypes(FaultType::KillGateway, FaultType::ReloadGateway);
    const auto endpointFaults =
        faultTypes(FaultType::EndpointMisbehaves, FaultType::ReplaceEndpoint);
    types.insert(types.end(), endpointFaults.begin(), endpointFaults.end());
    result.m_faults = planSoak(options.m_seed, types, options.m_span, calm);
    SoakWorld world(options.m_seed, options.m_size, options.m_folder);
    world.silenceConnections();
    world.run(result.m_faults, options.m_span);
    checkGateways(world, options.m_span, result);
    return result;
}

SoakResult soakRanks(const SoakOptions &options)
{
    SoakResult result;
    result.m_folder = options.m_folder;
    result.m_faults = planSoak(options.m_seed, RankWorld::faultTypes(), options.m_span, rankCalm);
    RankWorld world(options.m_seed, options.m_size, options.m_folder);
    world.run(result.m_faults, options.m_span, rankCalm);
    result.m_violations = world.violations();
    std::cout << world.steps() << " steps, " << world.mapChanges() << " changes of the map";
    return result;
}

// Orders, ranks and the store are sound, so that maps change all the time while coordinators come
// and go.
SoakResult soakTakeovers(const SoakOptions &options)
{
    SoakResult result;
    result.m_folder = options.m_folder;
    result.m_faults = planTakeovers(options.m_seed, options.m_span, rankCalm);
    constexpr GroupShape shape = {96, 5, Milliseconds(27), Milliseconds(90), Milliseconds(7)};
    RankWorld world(options.m_seed, options.m_size, options.m_folder, shape);
    world.changeMapsOften();
    world.run(result.m_faults, options.m_span, rankCalm);
    result.m_violations = world.violations();
    std::cout << world.steps() << " steps, " << world.mapChanges() << " changes of the map";
    return result;
}

SoakResult soakEntries(const SoakOptions &options)
{
    SoakResult result;
    const bool isRestored = options.m_seed % restoreSeedDivisor == 0;
    result.m_faults =
        planSoak(options.m_seed, EntryWorld::faultTypes(isRestored), options.m_span, entryCalm);
    EntryWorld world(options.m_seed, static_cast<unsigned>(options.m_size));
    result.m_folder = world.folder();
    world.run(result.m_faults, options.m_span, leastServed);
    result.m_violations = world.violations();
    std::cout << world.requests() << " requests, at the end " << world.servedAtEnd();
    return result;
}

// A world that the soak can run: its name, the flag of its size with its default, and its length.
struct World
{
    const char *m_name;
    const char *m_sizeFlag;
    std::size_t m_size;
    std::uint64_t m_seconds;
    SoakResult (*m_run)(const SoakOptions &);
};

constexpr std::array worlds = {World{"gateways", "--gateways=", 3, 20, soakGateways},
                               World{"silences", "--gateways=", 9, 25, soakSilences},
                               World{"ranks", "--ranks=", 10, 25, soakRanks},
                               World{"takeovers", "--ranks=", 24, 40, soakTakeovers},
                               World{"entries", "--endpoints=", 1, 25, soakEntries}};

} // namespace

int main(int count, char **arguments)
{
    const std::vector<std::string_view> flags(arguments + 1, arguments + count);
    const std::string_view name = flag(flags, "--world=").value_or(worlds.front().m_name);
    const auto *const world = std::find_if(worlds.begin(), worlds.end(),
                                           [&](const World &item) { return item.m_name == name; });
    if (world == worlds.end()) {
        std::cerr << "there is no world " << name << "\n";
        return 2;
    }
    SoakOptions options;
    options.m_seed = numberFlag(flags, "--seed=", 1);
    options.m_span = Seconds(numberFlag(flags, "--seconds=", world->m_seconds));
    options.m_size = numberFlag(flags, world->m_sizeFlag, world->m_size);
    options.m_folder =
        std::filesystem::temp_directory_path()
        / ("soak-" + std::to_string(options.m_seed) + "-" + std::to_string(getpid()));
    std::cout << name << ", seed " << options.m_seed << ": ";
    const SoakResult result = world->m_run(options);
    std::cout << ", " << result.m_faults.size() << " faults, " << result.m_violations.size()
              << " promises broken\n";
    if (result.m_violations.empty()) {
        std::filesystem::remove_all(result.m_folder);
        return 0;
    }
    for (const Fault &fault : result.m_faults)
        std::cout << "  " << fault.toString() << "\n";
    for (const std::string &violation : result.m_violations)
        std::cout << "  broken: " << violation << "\n";
    std::cout << "logs are in " << result.m_folder << "; again: build/soak --world=" << name
              << " --seed=" << options.m_seed << " --seconds=" << options.m_span.count() / 1000
              << " " << world->m_sizeFlag << options.m_size << "\n";
    return 1;
}
