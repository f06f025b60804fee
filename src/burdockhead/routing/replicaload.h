#pragma once

#include <burdockhead/admission/loadreport.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>
#include <optional>

namespace burdockhead {

// What is known of one replica's load: its last report, which is stale, and what this
// entry itself has sent since.
class ReplicaLoad
{
public:
    // Notes that an attempt was sent.
    void noteDispatch();

    // Notes that an attempt ended.
    void noteEnd();

    // Notes a report.
    void noteReport(const LoadReport &report, TimePoint now);

    // Forgets the last report, as it tells nothing of the present.
    void forgetReport();

    // Requests at the replica, as a guess between the report, weighted by its age, and the
    // mean of its like; never below what this entry has in flight there.
    double outstanding(double mean, Duration halfLife, TimePoint now) const;

    // The last report; empty when there is none.
    const LoadReport &report() const { return m_report; }

    // When the last report came; none when there is none.
    std::optional<TimePoint> reportedAt() const { return m_reportedAt; }

    // Attempts of this entry that have not ended.
    std::uint32_t ownInFlight() const { return m_ownInFlight; }

    // The time that a request runs, in microseconds; 0 when unknown.
    double serviceMicroseconds() const { return m_serviceMicroseconds; }

private:
    LoadReport m_report;
    std::optional<TimePoint> m_reportedAt;
    std::uint32_t m_ownInFlight = 0;
    std::uint32_t m_ownAtReport = 0;
    double m_serviceMicroseconds = 0;
};

} // namespace burdockhead
