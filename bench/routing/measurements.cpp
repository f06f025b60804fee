#include "measurements.h"

#include <algorithm>
#include <numeric>

namespace burdockhead {

namespace {

template <typename Function>
double meanOf(const std::vector<RequestRecord> &records, Function &&function)
{
    double sum = 0;
    for (const RequestRecord &record : records)
        sum += function(record);
    return records.empty() ? 0 : sum / static_cast<double>(records.size());
}

} // namespace

Measurements Measurements::between(TimePoint from, TimePoint to) const
{
    Measurements part;
    for (const RequestRecord &record : m_records) {
        if (record.m_arrival >= from && record.m_arrival < to)
            part.add(record);
    }
    return part;
}

double Measurements::firstChunk(double percentile) const
{
    return percentileOf(&RequestRecord::m_firstChunkSeconds, percentile);
}

double Measurements::completion(double percentile) const
{
    return percentileOf(&RequestRecord::m_completionSeconds, percentile);
}

double Measurements::inTimeShare() const
{
    return meanOf(m_records, [](const RequestRecord &record) { return record.m_isInTime ? 1 : 0; });
}

double Measurements::weightedInTimeShare() const
{
    const double all =
        meanOf(m_records, [](const RequestRecord &record) { return record.m_weight; });
    const double inTime = meanOf(m_records, [](const RequestRecord &record) {
        return record.m_isInTime ? record.m_weight : 0;
    });
    return all > 0 ? inTime / all : 0;
}

double Measurements::hitShare() const
{
    return meanOf(m_records,
                  [](const RequestRecord &record) { return record.m_isPrefixHit ? 1 : 0; });
}

double Measurements::attemptsPerRequest() const
{
    return meanOf(m_records, [](const RequestRecord &record) { return record.m_attempts; });
}

double Measurements::meanSkew() const
{
    const double sum = std::accumulate(m_skews.begin(), m_skews.end(), 0.0);
    return m_skews.empty() ? 1 : sum / static_cast<double>(m_skews.size());
}

double Measurements::percentileOf(double RequestRecord::*member, double percentile) const
{
    std::vector<double> values;
    for (const RequestRecord &record : m_records) {
        if (record.m_isInTime)
            values.push_back(record.*member);
    }
    if (values.empty())
        return 0;
    const auto place =
        static_cast<std::size_t>(percentile / 100 * static_cast<double>(values.size() - 1));
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(place);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

} // namespace burdockhead
