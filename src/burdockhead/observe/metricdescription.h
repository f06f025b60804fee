#pragma once

#include <string_view>
#include <vector>

namespace burdockhead {

// What one metric of the processes tells.
struct MetricDescription
{
    const char *m_name;
    const char *m_type;   // "counter", "gauge" or "summary".
    const char *m_labels; // Separated by commas; may be empty.
    const char *m_meaning;
};

// Every metric that the processes have.
const std::vector<MetricDescription> &metricDescriptions();

// The description of that metric, or a null pointer.
const MetricDescription *findMetricDescription(std::string_view name);

} // namespace burdockhead
