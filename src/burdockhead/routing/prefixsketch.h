#pragma once

#include <array>
#include <cstdint>
#include <memory>

namespace burdockhead {

// Fixed-size estimate of the prompt prefixes in a replica's cache: a set-associative table of
// fingerprints with LRU eviction per set. A wrong estimate costs time, never correctness.
class PrefixSketch
{
public:
    // Records that the prefix was used or stored; evicts the least recently used fingerprint of a
    // full set.
    void insert(std::uint64_t prefixHash);

    // Records that the prefix was evicted.
    void erase(std::uint64_t prefixHash);

    // Returns whether the prefix is probably cached.
    bool contains(std::uint64_t prefixHash) const;

    // Removes all prefixes.
    void clear() { m_sets.reset(); }

private:
    static constexpr std::size_t setCount = 16;
    static constexpr std::size_t waysPerSet = 8;
    using Set = std::array<std::uint32_t, waysPerSet>;
    using Sets = std::array<Set, setCount>;

    static std::size_t setOf(std::uint64_t prefixHash) { return prefixHash % setCount; }

    std::unique_ptr<Sets> m_sets; // Allocated with the first prefix.
};

} // namespace burdockhead
