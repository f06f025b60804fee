#include <burdockhead/routing/prefixsketch.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Returns a nonzero fingerprint; 0 marks an empty way of a set.
std::uint32_t fingerprintOf(std::uint64_t prefixHash)
{
    return static_cast<std::uint32_t>(prefixHash >> 32U) | 1U;
}

} // namespace

void PrefixSketch::insert(std::uint64_t prefixHash)
{
    if (m_sets == nullptr)
        m_sets = std::make_unique<Sets>();
    Set &set = (*m_sets)[setOf(prefixHash)];
    const std::uint32_t fingerprint = fingerprintOf(prefixHash);
    auto position = std::find(set.begin(), set.end(), fingerprint);
    if (position == set.end())
        position = set.end() - 1;
    std::move_backward(set.begin(), position, position + 1);
    set.front() = fingerprint;
}

void PrefixSketch::erase(std::uint64_t prefixHash)
{
    if (m_sets == nullptr)
        return;
    Set &set = (*m_sets)[setOf(prefixHash)];
    const auto rest = std::remove(set.begin(), set.end(), fingerprintOf(prefixHash));
    std::fill(rest, set.end(), 0U);
}

bool PrefixSketch::contains(std::uint64_t prefixHash) const
{
    if (m_sets == nullptr)
        return false;
    const Set &set = (*m_sets)[setOf(prefixHash)];
    return std::find(set.begin(), set.end(), fingerprintOf(prefixHash)) != set.end();
}

} // namespace burdockhead
