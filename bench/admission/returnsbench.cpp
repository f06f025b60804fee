#include "statistics.h"
#include "tables.h"
#include <burdockhead/admission/admissioncontroller.h>

#include <fmt/format.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr int runs = 5;
constexpr std::uint64_t burst = 400;
constexpr Milliseconds service{200};
constexpr Milliseconds bin{200};
constexpr Seconds requestTimeout{60};

// Offers a burst of requests; returns the sorted retry delays of the refused ones, in seconds.
std::vector<double> retryDelays(int run)
{
    AdmissionLimits limits;
    limits.m_coldLimit = 8;
    limits.m_warmLimit = 8;
    limits.m_queueLimit = 32;
    AdmissionController controller(limits, 400 + run);
    TimePoint now;
    RequestAttributes attributes;
    attributes.m_deadline = now + requestTimeout;
    controller.offer(attributes, now);
    now += service;
    controller.onFinished(attributes.m_id, RunOutcome::Completed, now);
    std::vector<double> delays;
    for (std::uint64_t id = 1; id <= burst; ++id) {
        attributes.m_id = {0, id};
        const AdmissionDecision decision = controller.offer(attributes, now);
        if (decision.m_verdict == AdmissionVerdict::Refused)
            delays.push_back(std::chrono::duration<double>(decision.m_retryAfter - now).count());
    }
    std::ranges::sort(delays);
    return delays;
}

// Returns the largest number of retries within one bin.
double maxInBin(const std::vector<double> &delays)
{
    const double width = std::chrono::duration<double>(bin).count();
    std::size_t maxCount = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < delays.size(); ++last) {
        while (delays[last] - delays[first] > width)
            ++first;
        maxCount = std::max(maxCount, last - first + 1);
    }
    return static_cast<double>(maxCount);
}

} // namespace

void printRetrySpread()
{
    std::vector<double> refused;
    std::vector<double> peak;
    std::vector<double> lastRetry;
    for (int run = 0; run < runs; ++run) {
        const std::vector<double> delays = retryDelays(run);
        refused.push_back(static_cast<double>(delays.size()));
        peak.push_back(maxInBin(delays));
        lastRetry.push_back(delays.back());
    }
    fmt::print(
        "### Returns of refused callers\n\n"
        "A burst of {} requests at an endpoint that ends 40/s; {} runs, seeds 400 to {}. With "
        "one fixed time to come back all return within one instant.\n\n",
        burst, runs, 400 + runs - 1);
    fmt::print(
        "| refused | most returns within {} ms | the same with a fixed time | last return, s "
        "|\n|---|---|---|---|\n| {} | {} | {} | {} |\n\n",
        bin.count(), medianAndSpread(refused, 0), medianAndSpread(peak, 0),
        medianAndSpread(refused, 0), medianAndSpread(lastRetry, 1));
}

} // namespace burdockhead
