#include <burdockhead/membership/rendezvous.h>

#include <algorithm>
#include <xxhash.h>

namespace burdockhead {

std::vector<ProcessName> chooseByRendezvous(std::string_view key,
                                            const std::vector<ProcessName> &candidates,
                                            std::size_t count)
{
    struct Weighted
    {
        std::uint64_t m_weight;
        const ProcessName *m_name;
    };
    const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
    std::vector<Weighted> weighted;
    weighted.reserve(candidates.size());
    for (const ProcessName &name : candidates)
        weighted.push_back({XXH64(name.text().data(), name.text().size(), seed), &name});
    const std::size_t chosen = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(chosen),
                      weighted.end(), [](const Weighted &left, const Weighted &right) {
                          return left.m_weight != right.m_weight ? left.m_weight > right.m_weight
                                                                 : *left.m_name < *right.m_name;
                      });
    std::vector<ProcessName> names;
    for (std::size_t index = 0; index < chosen; ++index)
        names.push_back(*weighted[index].m_name);
    return names;
}

} // namespace burdockhead
