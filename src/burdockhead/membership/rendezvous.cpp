#include <burdockhead/membership/rendezvous.h>

#include <algorithm>
#include <xxhash.h>

namespace burdockhead {

std::vector<ProcessName> chooseByRendezvous(std::string_view key,
                                            const std::vector<ProcessName> &candidates,
                                            std::size_t count)
{
    struct WeightedCandidate
    {
        std::uint64_t m_weight;
        const ProcessName *m_name;
    };
    const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
    std::vector<WeightedCandidate> weightedCandidates;
    weightedCandidates.reserve(candidates.size());
    for (const ProcessName &name : candidates)
        weightedCandidates.push_back({XXH64(name.text().data(), name.text().size(), seed), &name});
    const std::size_t chosenCount = std::min(count, weightedCandidates.size());
    std::partial_sort(weightedCandidates.begin(),
                      weightedCandidates.begin() + static_cast<std::ptrdiff_t>(chosenCount),
                      weightedCandidates.end(),
                      [](const WeightedCandidate &left, const WeightedCandidate &right) {
                          return left.m_weight != right.m_weight ? left.m_weight > right.m_weight
                                                                 : *left.m_name < *right.m_name;
                      });
    std::vector<ProcessName> names;
    for (std::size_t index = 0; index < chosenCount; ++index)
        names.push_back(*weightedCandidates[index].m_name);
    return names;
}

} // namespace burdockhead
