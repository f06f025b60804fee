#pragma once

#include <burdockhead/idempotency/claim.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// Bounds of one shard's object.
struct ClaimShardLimits
{
    std::size_t m_bytes = 900'000; // The platform's values end at a megabyte.
    std::uint64_t m_retentionMilliseconds = 24ULL * 3600 * 1000; // Claims live this long.
};

// The value of one claim object: bindings of keys, each with the time it is kept until. Holds
// a 128-bit digest in place of each key; two keys with one digest share a binding, which does
// no harm, since the agent tells them apart.
// Times are milliseconds of the wall clock, given by the caller.
class ClaimShard
{
public:
    explicit ClaimShard(const ClaimShardLimits &limits);

    // Reads an object's value; an empty text is an empty shard. None on any other text.
    static std::optional<ClaimShard> decode(std::string_view value, const ClaimShardLimits &limits);

    // The shard as an object's value.
    std::string encode() const;

    // The key's binding; none when it isn't claimed or the claim has lapsed.
    std::optional<Binding> find(const std::string &key, std::uint64_t wallMilliseconds) const;

    // Binds the key as wanted unless it is bound already, and gives its binding; none when
    // the shard is full. True in `changed` when the shard has a new claim.
    std::optional<Binding> merge(const Claim &claim, std::uint64_t wallMilliseconds, bool &changed);

    // Drops the claims whose time is over.
    void expire(std::uint64_t wallMilliseconds);

    // Claims present.
    std::size_t size() const { return m_claims.size(); }

    // An upper bound of the encoded size.
    std::size_t bytes() const { return m_bytes; }

private:
    struct Held
    {
        Binding m_binding;
        std::uint64_t m_keptUntil = 0; // Milliseconds of the wall clock.
    };

    static std::size_t sizeOf(const Binding &binding);

    ClaimShardLimits m_limits;
    std::map<std::string, Held> m_claims; // By digest.
    std::size_t m_bytes = 0;
};

} // namespace burdockhead
