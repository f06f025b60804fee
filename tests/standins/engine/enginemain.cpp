// Stand-in for a model engine; enginerank.h documents its protocol. With several addresses
// it runs one rank behind each, in lock-step.

#include "enginegroup.h"
#include "standinsupport.h"

#include <absl/flags/flag.h>

#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:9101", "addresses of the ranks, separated by commas");
ABSL_FLAG(std::uint64_t, boot_id, 1, "the first boot id");
ABSL_FLAG(std::uint64_t, carry_cold, 1, "requests that a cold rank carries");
ABSL_FLAG(std::uint64_t, carry_warm, 8, "requests that a warm rank carries");
ABSL_FLAG(std::uint64_t, warm_after, 8, "completions after which a rank is warm");
ABSL_FLAG(std::uint64_t, token_us, 2000, "length of a step, in microseconds; a token a step");
ABSL_FLAG(std::uint64_t, load_lag_ms, 50, "how old load reports are");
ABSL_FLAG(std::uint64_t, event_lag_ms, 200, "how late cache events are published");
ABSL_FLAG(std::uint64_t, prefix_capacity, 64, "prompt prefixes that a rank holds");
ABSL_FLAG(bool, cold, false, "start cold");
ABSL_FLAG(bool, falls_over, true, "go down for a while when overloaded");
ABSL_FLAG(bool, checks_fencing, true, "refuse orders with an old fencing number");
ABSL_FLAG(std::uint32_t, ranks, 1, "accepted for symmetry; the number of addresses counts");
ABSL_FLAG(std::uint32_t, rank, 0, "accepted for symmetry");
ABSL_FLAG(std::uint64_t, seed, 0, "accepted for symmetry; answers depend on prompts alone");

namespace {

burdockhead::RankOptions optionsFor(const burdockhead::SocketAddress &address)
{
    burdockhead::RankOptions options;
    options.m_port = address.m_port;
    options.m_bootId = absl::GetFlag(FLAGS_boot_id);
    options.m_carryCold = absl::GetFlag(FLAGS_carry_cold);
    options.m_carryWarm = absl::GetFlag(FLAGS_carry_warm);
    options.m_warmAfter = absl::GetFlag(FLAGS_warm_after);
    options.m_prefixCapacity = absl::GetFlag(FLAGS_prefix_capacity);
    options.m_loadLag = burdockhead::Milliseconds(absl::GetFlag(FLAGS_load_lag_ms));
    options.m_eventLag = burdockhead::Milliseconds(absl::GetFlag(FLAGS_event_lag_ms));
    options.m_cold = absl::GetFlag(FLAGS_cold);
    options.m_fallsOver = absl::GetFlag(FLAGS_falls_over);
    options.m_checksFencing = absl::GetFlag(FLAGS_checks_fencing);
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    burdockhead::blockTermination();
    burdockhead::parseStandinFlags(argc, argv);
    const auto addresses = burdockhead::parseAddresses(absl::GetFlag(FLAGS_listen));
    if (!addresses) {
        std::cerr << "--listen: not a list of HOST:PORT\n";
        return 2;
    }
    std::vector<burdockhead::RankOptions> options;
    options.reserve(addresses->size());
    for (const auto &address : *addresses)
        options.push_back(optionsFor(address));
    burdockhead::EngineGroup group(options,
                                   std::chrono::microseconds(absl::GetFlag(FLAGS_token_us)));
    if (!group.start(*addresses))
        return 1;
    burdockhead::awaitTermination();
    return 0;
}
