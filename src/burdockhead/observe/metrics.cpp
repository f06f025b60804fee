#include <burdockhead/observe/metricdescription.h>
#include <burdockhead/observe/metrics.h>

#include <fmt/format.h>

namespace burdockhead {

namespace {

std::string escapedLabelValue(const std::string &value)
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
        text += (text.empty() ? "" : ",") + label.m_name + "=\"" + escapedLabelValue(label.m_value)
                + "\"";
    return text.empty() ? text : "{" + text + "}";
}

std::string sampleLine(const std::string &name, const MetricLabels &labels, double value)
{
    return fmt::format("{}{} {}\n", name, labelText(labels), value);
}

// Prints the described type if there is one: a total that is counted outside this registry
// is stored here as a gauge that is set before each export.
std::string familyHeader(const std::string &name, const char *type)
{
    const MetricDescription *description = findMetricDescription(name);
    if (description == nullptr)
        return fmt::format("# TYPE {} {}\n", name, type);
    return fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, description->m_meaning, name,
                       description->m_type);
}

std::string sampleLines(const std::string &name, const MetricLabels &labels, const Counter &counter)
{
    return sampleLine(name, labels, counter.value());
}

std::string sampleLines(const std::string &name, const MetricLabels &labels, const Gauge &gauge)
{
    return sampleLine(name, labels, gauge.value());
}

std::string sampleLines(const std::string &name, const MetricLabels &labels,
                        const Distribution &distribution)
{
    std::string text;
    for (const QuantileEstimate &estimate : distribution.quantiles()) {
        MetricLabels quantileLabels = labels;
        quantileLabels.push_back({"quantile", fmt::format("{}", estimate.m_probability)});
        text += sampleLine(name, quantileLabels, estimate.m_value);
    }
    text += sampleLine(name + "_sum", labels, distribution.sum());
    return text + sampleLine(name + "_count", labels, static_cast<double>(distribution.count()));
}

template <typename Family>
void addFamily(std::map<std::string, std::string> &blocks, const Family &family, const char *type)
{
    for (const auto &[name, series] : family) {
        std::string block = familyHeader(name, type);
        for (const auto &[labels, metric] : series)
            block += sampleLines(name, labels, *metric);
        blocks[name] += block;
    }
}

} // namespace

Metrics::Metrics(std::size_t maxLabelSets)
    : m_maxLabelSets(maxLabelSets)
{}

template <typename Metric>
Metric &Metrics::findOrCreate(Family<Metric> &family, const std::string &name,
                              const MetricLabels &labels)
{
    const std::scoped_lock lock(m_mutex);
    Series<Metric> &series = family[name];
    auto found = series.find(labels);
    if (found == series.end()) {
        MetricLabels effectiveLabels = labels;
        if (series.size() >= m_maxLabelSets) {
            for (MetricLabel &label : effectiveLabels)
                label.m_value = "other";
        }
        found = series.try_emplace(effectiveLabels).first;
        if (!found->second)
            found->second = std::make_unique<Metric>();
    }
    return *found->second;
}

Counter &Metrics::counter(const std::string &name, const MetricLabels &labels)
{
    return findOrCreate(m_counters, name, labels);
}

Gauge &Metrics::gauge(const std::string &name, const MetricLabels &labels)
{
    return findOrCreate(m_gauges, name, labels);
}

Distribution &Metrics::distribution(const std::string &name, const MetricLabels &labels)
{
    return findOrCreate(m_distributions, name, labels);
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
