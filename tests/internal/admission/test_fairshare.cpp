#include "referencefairsharequeue.h"
#include <burdockhead/admission/fairsharequeue.h>
#include <burdockhead/admission/fifoqueue.h>

#include <map>
#include <property.h>
#include <utility>

using namespace burdockhead;

namespace {

constexpr std::uint32_t workspaceCount = 4;

WorkspaceName workspaceOf(std::uint32_t number)
{
    return WorkspaceName("w" + std::to_string(number));
}

QueuedRequest requestOf(std::uint64_t id, std::uint32_t choice)
{
    QueuedRequest request;
    request.m_id = {0, id};
    request.m_workspace = workspaceOf(choice % workspaceCount);
    request.m_priority = choice / workspaceCount % 3;
    return request;
}

// Applies one operation to both queues; returns true if all results agree.
bool applyToBoth(FairShareQueue &queue, ReferenceFairShareQueue &reference, std::uint64_t id,
                 std::uint32_t event, std::uint32_t choice)
{
    const QueuedRequest request = requestOf(id, choice);
    if (queue.aheadOf(request) != reference.aheadOf(request)
        || queue.victimFor(request) != reference.victimFor(request))
        return false;
    if (event < 4) {
        queue.push(request);
        reference.push(request);
    } else if (event < 7) {
        return queue.pop() == reference.pop();
    } else if (event == 7) {
        const RequestId other{0, id - choice % 8};
        return queue.remove(other) == reference.remove(other);
    } else if (choice % 8 == 0) {
        const std::vector<Workspace> shares = {{workspaceOf(0), 1 + choice % 5},
                                               {workspaceOf(1), 4}};
        queue.setShares(shares);
        reference.setShares(shares);
    }
    return queue.size() == reference.size();
}

// Queues requests of a heavy and a light workspace; returns the light one's percentage of the
// first 100 starts.
int lightPercent(RequestQueue &queue, std::uint32_t lightShare)
{
    queue.setShares({{workspaceOf(0), 1}, {workspaceOf(1), lightShare}});
    std::uint64_t id = 0;
    for (std::uint32_t count = 0; count < 200; ++count)
        queue.push(requestOf(++id, 0));
    for (std::uint32_t count = 0; count < 100; ++count)
        queue.push(requestOf(++id, 1));
    int light = 0;
    for (int start = 0; start < 100; ++start)
        light += queue.pop()->m_workspace == workspaceOf(1) ? 1 : 0;
    return light;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FairShares)

BOOST_AUTO_TEST_CASE(the_queue_agrees_with_the_reference_implementation)
{
    checkProperty("fair share order", [] {
        FairShareQueue queue;
        ReferenceFairShareQueue reference;
        std::uint64_t id = 0;
        const auto event = rc::gen::inRange<std::uint32_t>(0, 9);
        const auto choice = rc::gen::inRange<std::uint32_t>(0, 64);
        const auto steps =
            *rc::gen::container<std::vector<std::pair<std::uint32_t, std::uint32_t>>>(
                100, rc::gen::pair(event, choice));
        for (const auto &[drawnEvent, drawnChoice] : steps)
            RC_ASSERT(applyToBoth(queue, reference, ++id, drawnEvent, drawnChoice));
    });
}

BOOST_AUTO_TEST_CASE(workspaces_are_served_by_share_regardless_of_their_load)
{
    FairShareQueue equal;
    BOOST_TEST(lightPercent(equal, 1) == 50);
    FairShareQueue weighted;
    BOOST_TEST(lightPercent(weighted, 3) == 75);
    FifoQueue fifo;
    BOOST_TEST(lightPercent(fifo, 1) == 0);
}

BOOST_AUTO_TEST_CASE(state_is_kept_only_for_workspaces_with_queued_requests_or_ahead_of_their_share)
{
    FairShareQueue queue;
    std::vector<Workspace> workspaces;
    for (std::uint32_t number = 0; number < 15000; ++number)
        workspaces.push_back({workspaceOf(number), 1});
    queue.setShares(workspaces);
    for (std::uint32_t number = 0; number < 15000; ++number) {
        QueuedRequest request = requestOf(number, 0);
        request.m_workspace = workspaceOf(number);
        queue.push(request);
        if (number >= 16)
            queue.pop();
    }
    BOOST_TEST(queue.size() == 16U);
    while (queue.pop()) {
    }
    BOOST_TEST(queue.trackedWorkspaceCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
