#pragma once

#include <string>
#include <vector>

namespace burdockhead {

// Values of one measure over all runs of one variant.
using Samples = std::vector<double>;

// Prints measured variants as a Markdown table; the last variant is the one under test, the others
// are baselines.
class ResultTable
{
public:
    explicit ResultTable(const std::vector<std::string> &variants);

    // Prints a row: each variant's median (lowest to highest), and the ratio of the last variant to
    // the best baseline, which is the highest or the lowest.
    void addRow(const std::string &scenario, const std::string &measure,
                const std::vector<Samples> &variants, bool isHigherBetter) const;
};

} // namespace burdockhead
