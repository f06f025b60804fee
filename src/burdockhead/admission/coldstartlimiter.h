#pragma once

#include <burdockhead/admission/coldstartsignal.h>
#include <burdockhead/admission/endpointhealth.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>
#include <optional>

namespace burdockhead {

// How many requests the endpoint is trusted to carry. The limit drops to the cold limit on
// the first sign of a cold start and doubles each time that as many requests as the limit
// have completed since. An endpoint that reports whether it is cold counts as cold from a
// sign until its next report that it is not; completions alone never make it warm.
class ColdStartLimiter
{
public:
    // Starts cold.
    ColdStartLimiter(std::uint32_t coldLimit, std::uint32_t warmLimit);

    // Takes new limits over; a limit in growth stays where it is, within the new bounds.
    void setLimits(std::uint32_t coldLimit, std::uint32_t warmLimit);

    // Takes what the endpoint says of itself. True when it is a sign of a new cold start.
    bool onHealth(const EndpointHealth &health, TimePoint now);

    // A sign of a cold start: the limit drops.
    void onSignal(ColdStartSignal signal, TimePoint now);

    // A request completed; it counts when it was started in the present epoch.
    void onCompleted(std::uint64_t startedInEpoch, TimePoint now);

    // Requests that may be at the endpoint at a time.
    std::uint32_t limit() const { return m_limit; }

    // Requests that the endpoint carries in cold start.
    std::uint32_t coldLimit() const { return m_coldLimit; }

    // True until the limit has grown to the warm limit.
    bool isCold() const { return m_limit < m_warmLimit || m_isReportedCold; }

    // Grows with each sign.
    std::uint64_t epoch() const { return m_epoch; }

    // When the present epoch began.
    TimePoint coldSince() const { return m_coldSince; }

private:
    std::uint32_t m_coldLimit;
    std::uint32_t m_warmLimit;
    std::uint32_t m_limit;
    std::uint32_t m_completedAtLimit = 0;
    std::uint64_t m_epoch = 0;
    std::optional<std::string> m_bootId;
    bool m_reportsColdState = false; // The endpoint says in some answers whether it is cold.
    bool m_isReportedCold = false;
    TimePoint m_coldSince;
};

} // namespace burdockhead
