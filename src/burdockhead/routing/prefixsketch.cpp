#include <burdockhead/routing/prefixsketch.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Never 0, which marks an empty place.
std::uint32_t fingerprint(std::uint64_t prefixHash)
{
    return static_cast<std::uint32_t>(prefixHash >> 32U) | 1U;
}

} // namespace

void PrefixSketch::insert(std::uint64_t prefixHash)
{
    if (m_sets == nullptr)
        m_sets = std::make_unique<Sets>();
    Set &set = (*m_sets)[setOf(prefixHash)];
    const std::uint32_t print = fingerprint(prefixHash);
    auto place = std::find(set.begin(), set.end(), print);
    if (place == set.end())
        place = set.end() - 1;
    std::move_backward(set.begin(), place, place + 1);
    set.front() = print;
}

void PrefixSketch::erase(std::uint64_t prefixHash)
{
    if (m_sets == nullptr)
        return;
    Set &set = (*m_sets)[setOf(prefixHash)];
    const auto rest = std::remove(set.begin(), set.end(), fingerprint(prefixHash));
    std::fill(rest, set.end(), 0U);
}

bool PrefixSketch::contains(std::uint64_t prefixHash) const
{
    if (m_sets == nullptr)
        return false;
    const Set &set = (*m_sets)[setOf(prefixHash)];
    return std::find(set.begin(), set.end(), fingerprint(prefixHash)) != set.end();
}

} // namespace burdockhead
