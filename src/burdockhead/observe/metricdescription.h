#pragma once

#include <string_view>
#include <vector>

namespace burdockhead {

// The name, type, labels and help text of a metric.
struct MetricDescription
{
    const char *m_name;
    const char *m_type;   // "counter", "gauge" or "summary".
    const char *m_labels; // Label names separated by commas; may be empty.
    const char *m_meaning;
};

// Returns the descriptions of all metrics of the processes.
const std::vector<MetricDescription> &metricDescriptions();

// Returns the description of the metric, or a null pointer.
const MetricDescription *findMetricDescription(std::string_view name);

} // namespace burdockhead
