#pragma once

#include <burdockhead/base/timepoint.h>

#include <vector>

namespace burdockhead {

// How one request of a simulation ended.
struct RequestRecord
{
    TimePoint m_arrival;
    double m_weight = 1;
    double m_firstChunkSeconds = 0; // 0 when there was none.
    double m_completionSeconds = 0;
    bool m_inTime = false;
    bool m_hit = false;
    unsigned m_attempts = 0;
};

// All requests of one simulation, and the load skew at regular times.
class Measurements
{
public:
    void add(const RequestRecord &record) { m_records.push_back(record); }
    void addSkew(double skew) { m_skews.push_back(skew); }

    // Only requests that arrived in [from, to).
    Measurements between(TimePoint from, TimePoint to) const;

    // Percentiles, 0 to 100, over the requests completed in time, in seconds.
    double firstChunk(double percentile) const;
    double completion(double percentile) const;

    // Shares of all requests, 0 to 1: completed in time, the same by weight, and hits.
    double inTimeShare() const;
    double weightedInTimeShare() const;
    double hitShare() const;

    double attemptsPerRequest() const;
    double meanSkew() const;
    std::size_t count() const { return m_records.size(); }

private:
    double percentileOf(double RequestRecord::*member, double percentile) const;

    std::vector<RequestRecord> m_records;
    std::vector<double> m_skews;
};

} // namespace burdockhead
