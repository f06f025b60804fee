#include <burdockhead/observe/metricdescription.h>
#include <burdockhead/observe/metrics.h>

#include <fmt/format.h>

namespace burdockhead {

namespace {

std::string escaped(const std::string &value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\n') {
            text += "\\n";
            continue;
        }
        if (character == '"' || character == '\\')
            text.push_back('\\');
        text.push_back(character);
    }
    return text;
}

std::string labelText(const MetricLabels &labels)
{
    std::string text;
    for (const MetricLabel &label : labels)
        text += (text.empty() ? "" : ",") + label.m_name + "=\"" + escaped(label.m_value) + "\"";
    return text.empty() ? text : "{" + text + "}";
}

std::string sample(const std::string &name, const MetricLabels &labels, double value)
{
    return fmt::format("{}{} {}\n", name, labelText(labels), value);
}

// A described metric is printed as what it is described to be, since a total that another
// part counts is kept here as a gauge that is set before each print.
std::string head(const std::string &name, const char *type)
{
    const MetricDescription *description = findMetricDescription(name);
    if (description == nullptr)
        return fmt::format("# TYPE {} {}\n", name, type);
    return fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, description->m_meaning, name,
                       description->m_type);
}

std::string samples(const std::string &name, const MetricLabels &labels, const Counter &counter)
{
    return sample(name, labels, counter.value());
}

std::string samples(const std::string &name, const MetricLabels &labels, const Gauge &gauge)
{
    return sample(name, labels, gauge.value());
}

std::string samples(const std::string &name, const MetricLabels &labels,
                    const Distribution &distribution)
{
    std::string text;
    for (const QuantileEstimate &estimate : distribution.quantiles()) {
        MetricLabels withQuantile = labels;
        withQuantile.push_back({"quantile", fmt::format("{}", estimate.m_probability)});
        text += sample(name, withQuantile, estimate.m_value);
    }
    text += sample(name + "_sum", labels, distribution.sum());
    return text + sample(name + "_count", labels, static_cast<double>(distribution.count()));
}

template <typename Family>
void addFamily(std::map<std::string, std::string> &blocks, const Family &family, const char *type)
{
    for (const auto &[name, series] : family) {
        std::string block = head(name, type);
        for (const auto &[labels, metric] : series)
            block += samples(name, labels, *metric);
        blocks[name] += block;
    }
}

} // namespace

Metrics::Metrics(std::size_t maxLabelSets)
    : m_maxLabelSets(maxLabelSets)
{}

template <typename Metric>
Metric &Metrics::find(Family<Metric> &family, const std::string &name, const MetricLabels &labels)
{
    const std::scoped_lock lock(m_mutex);
    Series<Metric> &series = family[name];
    auto found = series.find(labels);
    if (found == series.end()) {
        MetricLabels used = labels;
        if (series.size() >= m_maxLabelSets) {
            for (MetricLabel &label : used)
                label.m_value = "other";
        }
        found = series.try_emplace(used).first;
        if (!found->second)
            found->second = std::make_unique<Metric>();
    }
    return *found->second;
}

Counter &Metrics::counter(const std::string &name, const MetricLabels &labels)
{
    return find(m_counters, name, labels);
}

Gauge &Metrics::gauge(const std::string &name, const MetricLabels &labels)
{
    return find(m_gauges, name, labels);
}

Distribution &Metrics::distribution(const std::string &name, const MetricLabels &labels)
{
    return find(m_distributions, name, labels);
}

std::string Metrics::toPrometheus() const
{
    const std::scoped_lock lock(m_mutex);
    std::map<std::string, std::string> blocks;
    addFamily(blocks, m_counters, "counter");
    addFamily(blocks, m_gauges, "gauge");
    addFamily(blocks, m_distributions, "summary");
    std::string text;
    for (const auto &[name, block] : blocks)
        text += block;
    return text;
}

} // namespace burdockhead
