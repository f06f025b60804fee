#include "fakeplatform.h"
#include "statistics.h"
#include "tables.h"
#include <burdockhead/idempotency/claimservice.h>

#include <fmt/format.h>

#include <atomic>
#include <deque>
#include <memory>

namespace burdockhead {

namespace {

constexpr int runs = 3;
constexpr Milliseconds platformLatency{3};
constexpr Seconds runLength{2};
constexpr Milliseconds sliceLength{5};

std::uint64_t wallNow()
{
    return 1'000'000;
}

struct Measured
{
    double m_claims = 0; // A second.
    double m_writes = 0; // A second.
    double m_reads = 0;  // A second.
    double m_median = 0; // Milliseconds to a binding.
    double m_slow = 0;   // The same, 99 in 100.
};

// The latencies of the claims; each is written by one handler at its own place.
struct Latencies
{
    explicit Latencies(std::size_t count)
        : m_milliseconds(count)
    {}
    std::vector<double> m_milliseconds;
    std::atomic<std::size_t> m_answered{0};
};

void offer(ClaimService &service, std::size_t index, Latencies &latencies)
{
    const TimePoint offered = Clock::now();
    const Claim claim{"workspace/" + std::to_string(index),
                      {EndpointName("service-" + std::to_string(index % 3)), Incarnation{1}}};
    service.claim(claim, offered + Seconds(30),
                  [&latencies, index, offered](const std::optional<Binding> &, const Failure &) {
                      const Duration took = Clock::now() - offered;
                      latencies.m_milliseconds[index] =
                          std::chrono::duration<double, std::milli>(took).count();
                      ++latencies.m_answered;
                  });
}

Measured measure(std::size_t rate, int entries)
{
    FakePlatform platform;
    platform.m_latency = platformLatency;
    std::deque<std::unique_ptr<ClaimService>> services;
    for (int entry = 0; entry < entries; ++entry)
        services.push_back(
            std::make_unique<ClaimService>(platform, ClaimServiceOptions(), wallNow));
    const std::size_t total = rate * runLength.count();
    Latencies latencies(total);
    const TimePoint begun = Clock::now();
    std::size_t offered = 0;
    while (offered < total) {
        const double passed = std::chrono::duration<double>(Clock::now() - begun).count();
        const auto due = std::min<std::size_t>(total, static_cast<std::size_t>(passed * rate));
        for (; offered < due; ++offered)
            offer(*services[offered % services.size()], offered, latencies);
        std::this_thread::sleep_for(sliceLength);
    }
    while (latencies.m_answered < total)
        std::this_thread::sleep_for(sliceLength);
    const double spent = std::chrono::duration<double>(Clock::now() - begun).count();
    services.clear();
    return {total / spent, platform.m_writes / spent, platform.m_reads / spent,
            quantile(latencies.m_milliseconds, 0.5), quantile(latencies.m_milliseconds, 0.99)};
}

std::string column(const std::vector<Measured> &measured, double Measured::*member)
{
    std::vector<double> values;
    values.reserve(measured.size());
    for (const Measured &run : measured)
        values.push_back(run.*member);
    return medianAndSpread(values, 0);
}

} // namespace

void printClaims()
{
    const ClaimServiceOptions limits;
    fmt::print("### Claims and the platform's writes\n\n"
               "Real threads against an object API in memory that takes {} ms a call; {} shards, "
               "one batch for a shard in {} ms an entry at most, and fewer under conflicts; median "
               "(least..greatest) of {} "
               "runs of {} s. A write for each claim would be as many writes as claims.\n\n",
               platformLatency.count(), limits.m_shardCount, limits.m_writeInterval.count(), runs,
               runLength.count());
    fmt::print("| entries | claims offered a second | bound a second | writes a second | reads a "
               "second | median, ms | 99 in 100, ms |\n|---|---|---|---|---|---|---|\n");
    const std::vector<std::pair<int, std::size_t>> sizes = {
        {1, 20}, {1, 100}, {1, 500}, {1, 2000}, {1, 8000}, {9, 90}, {9, 900}, {9, 4600}};
    for (const auto &[entries, rate] : sizes) {
        std::vector<Measured> measured;
        measured.reserve(runs);
        for (int run = 0; run < runs; ++run)
            measured.push_back(measure(rate, entries));
        fmt::print("| {} | {} | {} | {} | {} | {} | {} |\n", entries, rate,
                   column(measured, &Measured::m_claims), column(measured, &Measured::m_writes),
                   column(measured, &Measured::m_reads), column(measured, &Measured::m_median),
                   column(measured, &Measured::m_slow));
    }
    fmt::print("\n");
}

} // namespace burdockhead
