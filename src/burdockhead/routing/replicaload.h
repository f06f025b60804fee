#pragma once

#include <burdockhead/admission/loadreport.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>
#include <optional>

namespace burdockhead {

// Estimates a replica's load from its last report, which is stale, and the attempts this entry has
// sent since.
class ReplicaLoad
{
public:
    // Records that an attempt was sent.
    void onDispatched();

    // Records that an attempt ended.
    void onAttemptEnded();

    // Records a load report.
    void recordReport(const LoadReport &report, TimePoint now);

    // Drops the last report because it is obsolete.
    void forgetReport();

    // Returns the estimated requests at the replica: the last report, weighted down with age,
    // blended with the group's average. Never below this entry's attempts in flight.
    double estimatedOutstanding(double average, Duration halfLife, TimePoint now) const;

    // Returns the last report; empty if there is none.
    const LoadReport &report() const { return m_report; }

    // Returns when the last report was received, if there is one.
    std::optional<TimePoint> reportedAt() const { return m_reportedAt; }

    // Attempts of this entry in flight.
    std::uint32_t localInFlight() const { return m_localInFlight; }

    // Returns the smoothed service time, in microseconds; 0 if unknown.
    double serviceMicroseconds() const { return m_serviceMicroseconds; }

private:
    LoadReport m_report;
    std::optional<TimePoint> m_reportedAt;
    std::uint32_t m_localInFlight = 0;
    std::uint32_t m_localInFlightAtReport = 0;
    double m_serviceMicroseconds = 0;
};

} // namespace burdockhead
