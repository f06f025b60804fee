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
constexpr Milliseconds pollInterval{5};

std::uint64_t wallNow()
{
    return 1'000'000;
}

struct Measured
{
    double m_claims = 0;        // Per second.
    double m_writes = 0;        // Per second.
    double m_reads = 0;         // Per second.
    double m_medianLatency = 0; // Milliseconds until a binding.
    double m_latency99 = 0;     // The same, 99th percentile.
};

// Latencies by claim index; each element is written by one handler.
struct Latencies
{
    explicit Latencies(std::size_t count)
        : m_milliseconds(count)
    {}
    std::vector<double> m_milliseconds;
    std::atomic<std::size_t> m_completed{0};
};

void offer(ClaimService &service, std::size_t index, Latencies &latencies)
{
    const TimePoint offeredAt = Clock::now();
    const Claim claim{"workspace/" + std::to_string(index),
                      {EndpointName("service-" + std::to_string(index % 3)), Incarnation{1}}};
    service.claim(claim, offeredAt + Seconds(30),
                  [&latencies, index, offeredAt](const std::optional<Binding> &, const Failure &) {
                      const Duration latency = Clock::now() - offeredAt;
                      latencies.m_milliseconds[index] =
                          std::chrono::duration<double, std::milli>(latency).count();
                      ++latencies.m_completed;
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
    const TimePoint startedAt = Clock::now();
    std::size_t offered = 0;
    while (offered < total) {
        const double elapsed = std::chrono::duration<double>(Clock::now() - startedAt).count();
        const auto due = std::min<std::size_t>(total, static_cast<std::size_t>(elapsed * rate));
        for (; offered < due; ++offered)
            offer(*services[offered % services.size()], offered, latencies);
        std::this_thread::sleep_for(pollInterval);
    }
    while (latencies.m_completed < total)
        std::this_thread::sleep_for(pollInterval);
    const double elapsedSeconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
    services.clear();
    return {total / elapsedSeconds, platform.m_writes / elapsedSeconds,
            platform.m_reads / elapsedSeconds, quantile(latencies.m_milliseconds, 0.5),
            quantile(latencies.m_milliseconds, 0.99)};
}

std::string column(const std::vector<Measured> &results, double Measured::*member)
{
    std::vector<double> values;
    values.reserve(results.size());
    for (const Measured &run : results)
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
        std::vector<Measured> results;
        results.reserve(runs);
        for (int run = 0; run < runs; ++run)
            results.push_back(measure(rate, entries));
        fmt::print("| {} | {} | {} | {} | {} | {} | {} |\n", entries, rate,
                   column(results, &Measured::m_claims), column(results, &Measured::m_writes),
                   column(results, &Measured::m_reads), column(results, &Measured::m_medianLatency),
                   column(results, &Measured::m_latency99));
    }
    fmt::print("\n");
}

} // namespace burdockhead
