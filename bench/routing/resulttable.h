#pragma once

#include <string>
#include <vector>

namespace burdockhead {

// One measure over all runs of one variant.
using Samples = std::vector<double>;

// Prints rows of measured variants as a Markdown table; the last variant is ours.
class ResultTable
{
public:
    explicit ResultTable(const std::vector<std::string> &variants);

    // Prints a row: each variant's median (lowest to highest) and ours over the best of the
    // others, which is the highest or the lowest.
    void addRow(const std::string &scenario, const std::string &measure,
                const std::vector<Samples> &variants, bool higherIsBetter) const;
};

} // namespace burdockhead
