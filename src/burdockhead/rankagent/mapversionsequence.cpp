#include <burdockhead/rankagent/mapversionsequence.h>
#include <burdockhead/rankagent/standbytakeover.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Layout of a version, from its lowest bit. A term is 2^18 microseconds of the time of day, which
// leaves 10^10 terms below 2^53, the largest number that engines with numbers in floating point
// read exactly.
constexpr unsigned seedBits = 16;
constexpr unsigned rankBits = 2;
constexpr unsigned suffixBits = seedBits + rankBits;
constexpr std::uint64_t seedMask = (std::uint64_t(1) << seedBits) - 1;
constexpr std::uint64_t rankMask = (std::uint64_t(1) << rankBits) - 1;
static_assert(lastStandbyRank <= rankMask, "coordinators need suffixes of their own");

// Bounds the versions that a rank which refuses all orders uses up: about an hour of terms.
constexpr std::uint64_t maxSkippedTerms = std::uint64_t(1) << 14;

} // namespace

void MapVersionSequence::observe(std::uint64_t version)
{
    m_highest = std::max(m_highest, version);
}

std::uint64_t MapVersionSequence::next(std::uint32_t rank, std::uint64_t wallMicroseconds)
{
    const std::uint64_t term =
        std::max((m_highest >> suffixBits) + 1, wallMicroseconds >> suffixBits);
    m_highest = (term << suffixBits) | ((rank & rankMask) << seedBits) | (m_seed & seedMask);
    return m_highest;
}

void MapVersionSequence::skipAhead()
{
    m_highest += m_skippedTerms << suffixBits;
    m_skippedTerms = std::min(2 * m_skippedTerms, maxSkippedTerms);
}

} // namespace burdockhead
