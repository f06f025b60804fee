#pragma once

#include <burdockhead/base/timepoint.h>

#include <vector>

namespace burdockhead {

// Outcome of one request of a simulation.
struct RequestRecord
{
    TimePoint m_arrival;
    double m_weight = 1;
    double m_firstChunkSeconds = 0; // 0 if there was none.
    double m_completionSeconds = 0;
    bool m_isInTime = false;
    bool m_isPrefixHit = false;
    unsigned m_attempts = 0;
};

// Outcomes of all requests of one simulation, and periodic samples of the load skew.
class Measurements
{
public:
    void add(const RequestRecord &record) { m_records.push_back(record); }
    void addSkew(double skew) { m_skews.push_back(skew); }

    // Returns the measurements of requests that arrived in [from, to).
    Measurements between(TimePoint from, TimePoint to) const;

    // Return a percentile, 0 to 100, of the requests completed in time, in seconds.
    double firstChunk(double percentile) const;
    double completion(double percentile) const;

    // Return shares of all requests, 0 to 1: completed in time, the same by weight, and prefix
    // hits.
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
