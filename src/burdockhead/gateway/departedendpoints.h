#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/quarantine/crashreport.h>

#include <map>
#include <optional>

namespace burdockhead {

// How a run of an endpoint has departed from service discovery.
enum class Departure : std::uint8_t {
    Leaving, // It said so.
    Removed, // Its registration is gone: it has ended, or couldn't renew it.
};

// When and how one has departed.
struct DepartureRecord
{
    Departure m_departure = Departure::Removed;
    TimePoint m_at;

    friend bool operator==(const DepartureRecord &, const DepartureRecord &) = default;
};

// Remembers which endpoints have departed, since the store lists them as ready again when it comes
// back from an older copy. One that was leaving gets no requests then; a removed one may be running
// and is used again after a time in which a registration that nobody renews expires. Bounded in
// time and number.
class DepartedEndpoints
{
public:
    void record(const EndpointRun &endpoint, Departure departure, TimePoint at);

    // Records that an endpoint has changed its registration, so that it is running. One that was
    // leaving has changed its mind, unless what was written before a restore is being repeated.
    void recordRegistered(const EndpointRun &endpoint, bool isRepeated);

    // Returns whether the run said that it was leaving.
    bool isLeaving(const EndpointRun &endpoint) const;

    // Returns until when a run that a restored store lists as ready isn't used; none if it may be.
    std::optional<TimePoint> heldBackUntil(const EndpointRun &endpoint, TimePoint now) const;

    void removeExpired(TimePoint now);

    // Returns all that is remembered, to be told to a gateway that starts.
    const std::map<EndpointRun, DepartureRecord> &records() const { return m_records; }

private:
    std::map<EndpointRun, DepartureRecord> m_records;
};

} // namespace burdockhead
