#pragma once

#include <burdockhead/observe/counter.h>
#include <burdockhead/observe/distribution.h>
#include <burdockhead/observe/gauge.h>
#include <burdockhead/observe/metriclabel.h>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace burdockhead {

// The metrics registry of a process. A metric is created on first use and lives as long as
// the registry, so references may be kept. The number of label sets per name is bounded;
// further ones share a series whose label values are "other". Thread-safe; the internal lock
// is held for look-ups and exports, not for updates of a metric.
class Metrics
{
public:
    static constexpr std::size_t defaultMaxLabelSets = 2000;

    explicit Metrics(std::size_t maxLabelSets = defaultMaxLabelSets);

    Counter &counter(const std::string &name, const MetricLabels &labels = {});
    Gauge &gauge(const std::string &name, const MetricLabels &labels = {});
    Distribution &distribution(const std::string &name, const MetricLabels &labels = {});

    // Exports all metrics in the Prometheus text format, sorted by name and labels.
    std::string toPrometheus() const;

private:
    template <typename Metric>
    using Series = std::map<MetricLabels, std::unique_ptr<Metric>>;
    template <typename Metric>
    using Family = std::map<std::string, Series<Metric>>;

    template <typename Metric>
    Metric &findOrCreate(Family<Metric> &family, const std::string &name,
                         const MetricLabels &labels);

    const std::size_t m_maxLabelSets;
    mutable std::mutex m_mutex;
    Family<Counter> m_counters;
    Family<Gauge> m_gauges;
    Family<Distribution> m_distributions;
};

} // namespace burdockhead
