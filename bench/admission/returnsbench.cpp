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
constexpr Seconds patience{60};

// Offers a burst at once; gives the times to come back of those that are refused, in seconds.
std::vector<double> returnsOf(int run)
{
    AdmissionLimits limits;
    limits.m_coldLimit = 8;
    limits.m_warmLimit = 8;
    limits.m_queueLimit = 32;
    AdmissionController controller(limits, 400 + run);
    TimePoint now;
    RequestAttributes facts;
    facts.m_deadline = now + patience;
    controller.offer(facts, now);
    now += service;
    controller.finished(facts.m_id, RunEnd::Completed, now);
    std::vector<double> returns;
    for (std::uint64_t id = 1; id <= burst; ++id) {
        facts.m_id = {0, id};
        const AdmissionDecision decision = controller.offer(facts, now);
        if (decision.m_verdict == AdmissionVerdict::Refused)
            returns.push_back(std::chrono::duration<double>(decision.m_comeBack - now).count());
    }
    std::ranges::sort(returns);
    return returns;
}

// The most returns within one bin.
double peakOf(const std::vector<double> &returns)
{
    const double width = std::chrono::duration<double>(bin).count();
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < returns.size(); ++last) {
        while (returns[last] - returns[first] > width)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return static_cast<double>(most);
}

} // namespace

void printReturns()
{
    std::vector<double> refused;
    std::vector<double> peak;
    std::vector<double> last;
    for (int run = 0; run < runs; ++run) {
        const std::vector<double> returns = returnsOf(run);
        refused.push_back(static_cast<double>(returns.size()));
        peak.push_back(peakOf(returns));
        last.push_back(returns.back());
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
        medianAndSpread(refused, 0), medianAndSpread(last, 1));
}

} // namespace burdockhead
