#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/idempotency/claimshard.h>

#include <utility>
#include <xxhash.h>

namespace burdockhead {

namespace {

constexpr std::uint64_t formatVersion = 1;
constexpr std::size_t headerBytes = 20;
constexpr std::size_t digestBytes = 16;
constexpr std::size_t maxNumbersBytes = 28; // Two numbers and two text headers, at maximum size.

std::string digestOf(const std::string &key)
{
    const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, hash);
    return {reinterpret_cast<const char *>(canonical.digest), digestBytes};
}

} // namespace

ClaimShard::ClaimShard(const ClaimShardLimits &limits)
    : m_limits(limits)
    , m_bytes(headerBytes)
{}

std::optional<ClaimShard> ClaimShard::decode(std::string_view value, const ClaimShardLimits &limits)
{
    ClaimShard shard(limits);
    if (value.empty())
        return shard;
    MessageReader reader(value);
    if (reader.number() != formatVersion)
        return std::nullopt;
    const std::size_t count = reader.listLength(value.size());
    for (std::size_t index = 0; index < count && reader.ok(); ++index) {
        std::string key = reader.text();
        StoredBinding stored;
        stored.m_binding.m_endpoint = EndpointName(reader.text());
        stored.m_binding.m_incarnation = Incarnation{reader.number()};
        stored.m_expiresAtMilliseconds = reader.number();
        shard.m_bytes += encodedSizeOf(stored.m_binding);
        shard.m_claims.emplace(std::move(key), std::move(stored));
    }
    if (!reader.complete() || shard.m_claims.size() != count)
        return std::nullopt;
    return shard;
}

std::string ClaimShard::encode() const
{
    MessageWriter writer;
    writer.number(formatVersion).number(m_claims.size());
    for (const auto &[key, stored] : m_claims) {
        writer.text(key).text(stored.m_binding.m_endpoint.text());
        writer.number(stored.m_binding.m_incarnation.m_value)
            .number(stored.m_expiresAtMilliseconds);
    }
    return writer.take();
}

std::optional<Binding> ClaimShard::find(const std::string &key,
                                        std::uint64_t wallMilliseconds) const
{
    const auto found = m_claims.find(digestOf(key));
    if (found == m_claims.end() || found->second.m_expiresAtMilliseconds < wallMilliseconds)
        return std::nullopt;
    return found->second.m_binding;
}

std::optional<Binding> ClaimShard::merge(const Claim &claim, std::uint64_t wallMilliseconds,
                                         bool &changed)
{
    if (auto binding = find(claim.m_key, wallMilliseconds))
        return binding;
    const std::string digest = digestOf(claim.m_key);
    const auto expired = m_claims.find(digest);
    if (expired != m_claims.end()) {
        m_bytes -= encodedSizeOf(expired->second.m_binding);
        m_claims.erase(expired);
    }
    const std::size_t size = encodedSizeOf(claim.m_proposedBinding);
    if (m_bytes + size > m_limits.m_maxBytes)
        return std::nullopt;
    m_claims[digest] = {claim.m_proposedBinding,
                        wallMilliseconds + m_limits.m_retentionMilliseconds};
    m_bytes += size;
    changed = true;
    return claim.m_proposedBinding;
}

bool ClaimShard::adopt(const ClaimShard &other, std::uint64_t wallMilliseconds)
{
    bool hasChanged = false;
    for (const auto &[digest, stored] : other.m_claims) {
        if (stored.m_expiresAtMilliseconds < wallMilliseconds)
            continue;
        const auto [known, isNew] = m_claims.try_emplace(digest, stored);
        if (isNew) {
            m_bytes += encodedSizeOf(stored.m_binding);
        } else if (stored.m_expiresAtMilliseconds < known->second.m_expiresAtMilliseconds) {
            m_bytes += encodedSizeOf(stored.m_binding) - encodedSizeOf(known->second.m_binding);
            known->second = stored;
        } else {
            continue;
        }
        hasChanged = true;
    }
    return hasChanged;
}

void ClaimShard::expire(std::uint64_t wallMilliseconds)
{
    for (auto claim = m_claims.begin(); claim != m_claims.end();) {
        if (claim->second.m_expiresAtMilliseconds >= wallMilliseconds) {
            ++claim;
            continue;
        }
        m_bytes -= encodedSizeOf(claim->second.m_binding);
        claim = m_claims.erase(claim);
    }
}

std::size_t ClaimShard::encodedSizeOf(const Binding &binding)
{
    return digestBytes + binding.m_endpoint.text().size() + maxNumbersBytes;
}

} // namespace burdockhead
