#pragma once

#include <burdockhead/admission/coldstartsignal.h>
#include <burdockhead/admission/endpointhealth.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>
#include <optional>

namespace burdockhead {

// Adapts the concurrency limit to cold starts. It drops to the cold limit on each signal of a
// cold start, and doubles each time that as many requests as the limit have completed at it. An
// endpoint that reports its cold starts counts as cold from a signal until it reports the
// contrary; completions alone don't make it warm.
class ColdStartLimiter
{
public:
    // Starts at the cold limit.
    ColdStartLimiter(std::uint32_t coldLimit, std::uint32_t warmLimit);

    // Applies new limits; the current limit is only clamped to them, so its growth continues.
    void setLimits(std::uint32_t coldLimit, std::uint32_t warmLimit);

    // Evaluates the health that the endpoint reports. Returns true if it signals a new cold
    // start.
    bool onHealth(const EndpointHealth &health, TimePoint now);

    // Drops the limit to the cold limit and begins a new epoch.
    void onSignal(ColdStartSignal signal, TimePoint now);

    // Counts a completed request towards the growth of the limit if it was started in the current
    // epoch.
    void onCompleted(std::uint64_t startedInEpoch, TimePoint now);

    // Returns the current concurrency limit.
    std::uint32_t limit() const { return m_limit; }

    // Returns the concurrency limit during cold start.
    std::uint32_t coldLimit() const { return m_coldLimit; }

    // Returns true until the limit reaches the warm limit, or while the endpoint reports a cold
    // start.
    bool isCold() const { return m_limit < m_warmLimit || m_isReportedCold; }

    // Returns the number of signals so far.
    std::uint64_t epoch() const { return m_epoch; }

    // Returns when the current epoch began.
    TimePoint coldSince() const { return m_coldSince; }

private:
    std::uint32_t m_coldLimit;
    std::uint32_t m_warmLimit;
    std::uint32_t m_limit;
    std::uint32_t m_completedAtLimit = 0;
    std::uint64_t m_epoch = 0;
    std::optional<std::string> m_bootId;
    bool m_reportsColdState = false; // Whether the endpoint has ever reported its state.
    bool m_isReportedCold = false;
    TimePoint m_coldSince;
};

} // namespace burdockhead
