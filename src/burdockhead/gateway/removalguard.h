#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <deque>
#include <map>

namespace burdockhead {

// The removal of an endpoint's registration, as a gateway has learned of it.
struct EndpointRemoval
{
    GroupName m_service;
    std::size_t m_remaining = 0; // Registered endpoints of the service without this one.
    TimePoint m_madeAfter;       // The earliest time at which it may have been made.

    friend bool operator==(const EndpointRemoval &, const EndpointRemoval &) = default;
};

// Decides until when an endpoint whose registration was removed still gets requests. A gateway may
// learn of a removal long after it was made, so an endpoint that is gone is not used any more.
//
// While the store is unavailable, registrations of healthy endpoints expire, and they are back
// within two seconds of its return. If most endpoints of a service are removed at a time, they have
// probably expired and stay usable for a part of the permitted time.
class RemovalGuard
{
public:
    // Returns when the endpoint stops being usable; `leaveTime` is the time for which a removed
    // endpoint may be used.
    TimePoint usableUntil(const EndpointRemoval &removal, Milliseconds leaveTime, TimePoint now);

private:
    std::map<GroupName, std::deque<TimePoint>> m_recentRemovals;
};

} // namespace burdockhead
