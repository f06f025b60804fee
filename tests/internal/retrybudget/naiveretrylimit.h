#pragma once

#include "retrylimit.h"
#include <burdockhead/gateway/serviceretrybudget.h>
#include <burdockhead/gateway/slidingwindowcounter.h>

namespace burdockhead::test {

// Counts requests when they arrive and retries when they are decided, and takes an equal part of
// the burst from its start on.
class NaiveRetryLimit : public RetryLimit
{
public:
    explicit NaiveRetryLimit(const ServiceRetryBudgetOptions &options)
        : m_options(options)
    {}

    void recordRequest(TimePoint now) override { m_requests.record(now); }
    void end(TimePoint) override {}

    bool tryBegin(const PeerTable &peers, TimePoint now) override
    {
        const double allowed = m_options.m_ratio * static_cast<double>(m_requests.count(now))
                               + m_options.m_burst / static_cast<double>(peers.gatewayCount(now));
        if (static_cast<double>(m_retries.count(now) + 1) > allowed)
            return false;
        m_retries.record(now);
        return true;
    }

private:
    const ServiceRetryBudgetOptions m_options;
    SlidingWindowCounter m_requests{m_options.m_window};
    SlidingWindowCounter m_retries{m_options.m_window};
};

} // namespace burdockhead::test
