#pragma once

#include <array>
#include <cstdint>
#include <memory>

namespace burdockhead {

// A guess at which prompt prefixes a replica has in its cache, of fixed size: sets of
// fingerprints, each set in order of last use. A wrong guess costs time, never correctness.
class PrefixSketch
{
public:
    // Notes that the prefix was used or stored; the least recently used one of its set goes.
    void insert(std::uint64_t prefixHash);

    // Notes that the prefix was evicted.
    void erase(std::uint64_t prefixHash);

    // Whether the prefix is probably cached.
    bool contains(std::uint64_t prefixHash) const;

    // Forgets everything.
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
