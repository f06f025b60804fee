#include <burdockhead/routing/consistenthashring.h>

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace burdockhead {

namespace {

constexpr std::uint64_t pointsPerReplica = 8;

} // namespace

void ConsistentHashRing::add(const EndpointName &name, ReplicaIndex replica)
{
    for (std::uint64_t point = 0; point < pointsPerReplica; ++point) {
        const std::string &text = name.text();
        m_points.push_back({XXH64(text.data(), text.size(), point), replica});
    }
}

void ConsistentHashRing::sortPoints()
{
    std::sort(m_points.begin(), m_points.end(), [](const Point &left, const Point &right) {
        return std::tie(left.m_hash, left.m_replica) < std::tie(right.m_hash, right.m_replica);
    });
}

ReplicaIndex ConsistentHashRing::replicaAt(std::uint64_t prefixHash, std::size_t steps) const
{
    const std::uint64_t key = XXH64(&prefixHash, sizeof prefixHash, 0);
    const auto position = std::lower_bound(
        m_points.begin(), m_points.end(), key,
        [](const Point &point, std::uint64_t hash) { return point.m_hash < hash; });
    const auto first = static_cast<std::size_t>(position - m_points.begin());
    return m_points[(first + steps) % m_points.size()].m_replica;
}

} // namespace burdockhead
