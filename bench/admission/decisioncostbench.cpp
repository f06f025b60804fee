#include "statistics.h"
#include "tables.h"
#include <burdockhead/admission/admissioncontroller.h>
#include <burdockhead/admission/fifoqueue.h>
#include <burdockhead/base/random.h>

#include <fmt/format.h>

#include <deque>

namespace burdockhead {

namespace {

constexpr int runs = 5;
constexpr std::uint64_t requests = 200'000;
constexpr Milliseconds requestTimeout{2000};
constexpr std::chrono::microseconds arrivalInterval{
    12'500}; // Twice the rate at which requests end.

std::vector<Workspace> workspacesOf(int count)
{
    std::vector<Workspace> workspaces;
    workspaces.reserve(count);
    for (int number = 0; number < count; ++number)
        workspaces.push_back({WorkspaceName("workspace-" + std::to_string(number)),
                              1 + static_cast<std::uint32_t>(number % 4)});
    return workspaces;
}

// Offers requests at 200 % load; returns the nanoseconds per request, including its end.
double costOf(AdmissionController &controller, const std::vector<Workspace> &workspaces, int run)
{
    Random random(300 + run);
    std::vector<std::uint32_t> order(requests);
    for (std::uint32_t &workspace : order)
        workspace = random() % workspaces.size();
    std::deque<RequestId> running;
    const auto addStarted = [&running](const std::vector<AdmissionAction> &actions) {
        for (const AdmissionAction &action : actions) {
            if (action.m_type == AdmissionActionType::Start)
                running.push_back(action.m_id);
        }
    };
    RequestAttributes attributes;
    TimePoint now;
    const TimePoint startedAt = Clock::now();
    for (std::uint64_t id = 1; id <= requests; ++id) {
        now += arrivalInterval;
        attributes.m_id = {0, id};
        attributes.m_workspace = workspaces[order[id - 1]].m_name;
        attributes.m_deadline = now + requestTimeout;
        const AdmissionDecision decision = controller.offer(attributes, now);
        if (decision.m_verdict == AdmissionVerdict::Run)
            running.push_back(attributes.m_id);
        addStarted(decision.m_actions);
        if (id % 2 == 0 && !running.empty()) {
            const RequestId ended = running.front();
            running.pop_front();
            addStarted(controller.onFinished(ended, RunOutcome::Completed, now));
        }
    }
    const Duration elapsed = Clock::now() - startedAt;
    return std::chrono::duration<double, std::nano>(elapsed).count() / requests;
}

AdmissionLimits limits()
{
    AdmissionLimits limits;
    limits.m_coldLimit = 8;
    limits.m_warmLimit = 8;
    limits.m_queueLimit = 64;
    return limits;
}

} // namespace

void printDecisionCost()
{
    fmt::print("### Cost of a decision\n\n"
               "An offered request with its end or refusal, at 200 % load, queue of 64; wall time, "
               "median (least..greatest) of {} runs of {} requests, seeds 300 to {}.\n\n",
               runs, requests, 300 + runs - 1);
    fmt::print("| workspaces | first come, first served, ns | fair shares, ns | taking the shares "
               "over once, microseconds |\n|---|---|---|---|\n");
    for (const int count : {10, 15'000}) {
        const std::vector<Workspace> workspaces = workspacesOf(count);
        std::vector<double> fifo;
        std::vector<double> fairShare;
        std::vector<double> shares;
        for (int run = 0; run < runs; ++run) {
            AdmissionController fifoController(limits(), 1, std::make_unique<FifoQueue>());
            fifo.push_back(costOf(fifoController, workspaces, run));
            AdmissionController controller(limits(), 1);
            const TimePoint startedAt = Clock::now();
            controller.setShares(workspaces);
            const Duration elapsed = Clock::now() - startedAt;
            shares.push_back(std::chrono::duration<double, std::micro>(elapsed).count());
            fairShare.push_back(costOf(controller, workspaces, run));
        }
        fmt::print("| {} | {} | {} | {} |\n", count, medianAndSpread(fifo, 0),
                   medianAndSpread(fairShare, 0), medianAndSpread(shares, 0));
    }
    fmt::print("\n");
}

} // namespace burdockhead
