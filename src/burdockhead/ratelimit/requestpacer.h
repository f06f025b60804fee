#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace burdockhead {

// What one gateway may send to an endpoint.
struct RequestPace
{
    double m_requestsPerSecond = 0;
    double m_capacity = 1; // Requests at once.

    friend bool operator==(const RequestPace &, const RequestPace &) = default;
};

// A leaky bucket for the requests of one gateway to one endpoint. A request fills it from its
// sending on, and drains only once its response has begun or its connection has ended: until then
// it may arrive at any moment. Protects an endpoint from more requests than it takes, also if it
// stands still meanwhile.
class RequestPacer
{
public:
    // None lets all requests pass. A bucket is full when a pace is first set.
    void setPace(const std::optional<RequestPace> &pace, TimePoint now);
    const std::optional<RequestPace> &pace() const { return m_pace; }

    bool allows(TimePoint now) const;

    // Begins a request and returns its ticket, with which one of the two functions below ends it.
    std::uint64_t begin();
    void end(std::uint64_t ticket, TimePoint now);

    // Ends a request of which nothing was sent.
    void cancel(std::uint64_t ticket);

private:
    double level(TimePoint now) const;

    std::optional<RequestPace> m_pace;
    std::uint64_t m_paces = 0; // That were set where there was none; the tickets of the last one.
    std::size_t m_open = 0;    // Requests of that pace that have not ended.
    double m_level = 0;        // Of those that have ended, as of m_updatedAt.
    TimePoint m_updatedAt;
};

} // namespace burdockhead
