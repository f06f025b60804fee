#pragma once

#include <burdockhead/idempotency/claim.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// Limits of one shard's object.
struct ClaimShardLimits
{
    std::size_t m_maxBytes = 900'000; // The platform limits values to a megabyte.
    std::uint64_t m_retentionMilliseconds = 24ULL * 3600 * 1000; // Lifetime of a claim.
};

// The value of one claim object: bindings of keys, each with its expiry time. Stores a 128-bit
// digest of each key; keys with equal digests share a binding, which is harmless because the agent
// distinguishes them. Times are wall-clock milliseconds, passed in by the caller.
class ClaimShard
{
public:
    explicit ClaimShard(const ClaimShardLimits &limits);

    // Decodes an object's value; an empty value is an empty shard. Returns none if it is malformed.
    static std::optional<ClaimShard> decode(std::string_view value, const ClaimShardLimits &limits);

    // Encodes the shard as an object's value.
    std::string encode() const;

    // Returns the key's binding; none if it isn't claimed or the claim has expired.
    std::optional<Binding> find(const std::string &key, std::uint64_t wallMilliseconds) const;

    // Binds the key as proposed unless it is already bound, and returns its binding; none if the
    // shard is full. Sets `changed` if a claim was added.
    std::optional<Binding> merge(const Claim &claim, std::uint64_t wallMilliseconds, bool &changed);

    // Adds the claims of another state of the shard that this one lacks, which the platform must
    // have lost, since claims never go but by expiry. Of two bindings of a key the earlier one
    // stays. Returns whether anything has changed.
    bool adopt(const ClaimShard &other, std::uint64_t wallMilliseconds);

    // Removes expired claims.
    void expire(std::uint64_t wallMilliseconds);

    // Returns the number of claims.
    std::size_t size() const { return m_claims.size(); }

    // Returns an upper bound of the encoded size.
    std::size_t bytes() const { return m_bytes; }

private:
    struct StoredBinding
    {
        Binding m_binding;
        std::uint64_t m_expiresAtMilliseconds = 0; // By the wall clock.
    };

    static std::size_t encodedSizeOf(const Binding &binding);

    ClaimShardLimits m_limits;
    std::map<std::string, StoredBinding> m_claims; // By digest.
    std::size_t m_bytes = 0;
};

} // namespace burdockhead
