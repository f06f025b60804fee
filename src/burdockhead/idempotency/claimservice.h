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

// How claims are sharded over the platform's objects and batched into writes. The number of shards
// must be the same in all entries and must never change.
struct ClaimServiceOptions
{
    std::uint32_t m_shardCount = 4;
    std::size_t m_queueLimit = 4096;  // Maximum of pending claims.
    Milliseconds m_writeInterval{50}; // Between batches of a shard; longer after conflicts.
    Milliseconds m_callTimeout{1000}; // Of one call to the platform.
    ClaimShardLimits m_shardLimits;
};

// Counts calls to the platform and claims.
struct ClaimServiceCounters
{
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_conflicts = 0;
    std::uint64_t m_claims = 0; // Completed with a binding.
    std::uint64_t m_failed = 0; // Completed without one.
};

// Binds idempotency keys to incarnations of agents through sharded claim objects in the platform,
// many claims per write. Claims in the local cache need no call. Each service has one worker
// thread; thread-safe.
class ClaimService
{
public:
    // Receives the key's binding or the failure, on the worker thread with no lock held.
    // PlatformUnavailable: the claim may have been written, but no caller was told so.
    // Overloaded: too many claims are pending, or the shard is full. A handler must not destroy
    // the service.
    using Handler = std::function<void(std::optional<Binding> binding, Failure failure)>;

    // Returns the wall-clock time in milliseconds.
    using WallClock = std::function<std::uint64_t()>;

    // Starts the worker thread. The object API must outlive the service.
    ClaimService(ObjectApi &api, const ClaimServiceOptions &options, WallClock wallClock);

    // Fails all pending claims and joins the worker thread.
    ~ClaimService();
    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

    // Binds the key, or gets its existing binding, before the deadline.
    void claim(const Claim &claim, TimePoint deadline, Handler handler);

    // Does the same and blocks for the result; without a binding, sets `failure`.
    std::optional<Binding> claimAndWait(const Claim &claim, TimePoint deadline, Failure &failure);

    ClaimServiceCounters counters() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
