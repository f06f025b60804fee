#pragma once

#include <cstdint>
#include <utility>

namespace burdockhead {

// Draws the versions of the maps that one coordinator plans. No two maps get the same version,
// whatever the time of day says: a version is a term above all versions that the coordinator has
// drawn or heard of, followed by a suffix that no other coordinator draws in the same epoch, its
// rank and a random number of its process.
//
// The time of day only raises the term, so that a coordinator that has heard of no version yet
// draws one that ranks haven't had. If its clock is behind, ranks refuse the version; see
// skipAhead().
class MapVersionSequence
{
public:
    // The seed is drawn anew by each run of a process.
    explicit MapVersionSequence(std::uint64_t seed)
        : m_seed(seed)
    {}

    // Records a version that a rank reports, or was ordered to prepare.
    void observe(std::uint64_t version);

    // Returns the version of the next map. `rank` is the one beside which the coordinator runs.
    std::uint64_t next(std::uint32_t rank, std::uint64_t wallMicroseconds);

    // Records that a rank has refused a version without reporting a higher one. Leaves out as many
    // terms as may separate the sequence from the rank's highest version: twice as many each time
    // until onAccepted() is called.
    void skipAhead();
    void onAccepted() { m_skippedTerms = minSkippedTerms; }

    friend bool operator==(const MapVersionSequence &, const MapVersionSequence &) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash hash, const MapVersionSequence &sequence)
    {
        return Hash::combine(std::move(hash), sequence.m_seed, sequence.m_highest,
                             sequence.m_skippedTerms);
    }

private:
    // A few seconds, by which clocks jump.
    static constexpr std::uint64_t minSkippedTerms = 16;

    std::uint64_t m_seed;
    std::uint64_t m_highest = 0; // Of the versions drawn and observed.
    std::uint64_t m_skippedTerms = minSkippedTerms;
};

} // namespace burdockhead
