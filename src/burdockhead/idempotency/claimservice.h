#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/idempotency/claimshard.h>
#include <burdockhead/platform/objectapi.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace burdockhead {

// How claims are spread over the platform's objects and collected into writes. The number
// of shards must be the same at all entries, and for ever.
struct ClaimServiceOptions
{
    std::uint32_t m_shardCount = 4;
    std::size_t m_queueLimit = 4096;  // Claims that may wait.
    Milliseconds m_writeInterval{50}; // Between two batches for a shard; more under conflicts.
    Milliseconds m_callTimeout{1000}; // For one call of the platform.
    ClaimShardLimits m_shard;
};

// Calls and claims so far.
struct ClaimServiceCounters
{
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_claims = 0; // Answered with a binding.
    std::uint64_t m_failed = 0; // Answered without one.
};

// Binds keys to runs of agents through sharded claim objects of the platform, many claims a
// write. One worker thread a service; thread-safe. A key's claim that is known here is
// answered without a call.
class ClaimService
{
public:
    // Called on the worker thread, with no lock held: the key's binding, or why there is none.
    // PlatformUnavailable: the claim may stand, but nobody was told so.
    // Overloaded: too many claims wait, or the shard is full. Destroying the service from a
    // handler is not allowed.
    using Handler = std::function<void(std::optional<Binding> binding, Failure failure)>;

    // Milliseconds of the wall clock.
    using WallClock = std::function<std::uint64_t()>;

    // The object API must outlive the service.
    ClaimService(ObjectApi &api, const ClaimServiceOptions &limits, WallClock wallClock);

    // Answers what waits with a failure.
    ~ClaimService();
    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

    // Binds the key, or learns of its binding, before the deadline.
    void claim(const Claim &claim, TimePoint deadline, Handler handler);

    // The same, waiting; none leaves the reason in `failure`.
    std::optional<Binding> claimAndWait(const Claim &claim, TimePoint deadline, Failure &failure);

    ClaimServiceCounters counters() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
