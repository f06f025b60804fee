#pragma once

#include <string>
#include <tuple>
#include <vector>

namespace burdockhead {

// A label of a metric and its value.
struct MetricLabel
{
    std::string m_name;
    std::string m_value;

    friend bool operator==(const MetricLabel &, const MetricLabel &) = default;
    friend bool operator<(const MetricLabel &left, const MetricLabel &right)
    {
        return std::tie(left.m_name, left.m_value) < std::tie(right.m_name, right.m_value);
    }
};

using MetricLabels = std::vector<MetricLabel>;

} // namespace burdockhead
