#include <burdockhead/admission/admissioncontroller.h>

#include <boost/test/unit_test.hpp>

#include <set>

using namespace burdockhead;

namespace {

constexpr TimePoint start{Seconds(1000)};

AdmissionLimits warmLimits(std::uint32_t limit, std::uint32_t queueLimit)
{
    AdmissionLimits limits;
    limits.m_coldLimit = limit;
    limits.m_warmLimit = limit;
    limits.m_queueLimit = queueLimit;
    return limits;
}

RequestAttributes requestOf(std::uint64_t id, const std::string &workspace = "w",
                            Duration deadline = Seconds(60))
{
    RequestAttributes attributes;
    attributes.m_id = {0, id};
    attributes.m_workspace = WorkspaceName(workspace);
    attributes.m_deadline = start + deadline;
    return attributes;
}

AdmissionVerdict offer(AdmissionController &controller, const RequestAttributes &attributes)
{
    return controller.offer(attributes, start).m_verdict;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Admission)

BOOST_AUTO_TEST_CASE(requests_run_up_to_the_limit_then_queue_then_are_refused)
{
    AdmissionController controller(warmLimits(1, 1), 1);
    BOOST_TEST((offer(controller, requestOf(1)) == AdmissionVerdict::Run));
    BOOST_TEST((offer(controller, requestOf(2)) == AdmissionVerdict::Queued));
    const AdmissionDecision refused = controller.offer(requestOf(3), start);
    BOOST_TEST((refused.m_verdict == AdmissionVerdict::Refused));
    BOOST_TEST((refused.m_errorKind == ErrorKind::Overloaded));
    BOOST_TEST((refused.m_retryAfter > start));
    const auto actions = controller.onFinished({0, 1}, RunOutcome::Completed, start + Seconds(1));
    BOOST_REQUIRE(actions.size() == 1U);
    BOOST_TEST((actions[0].m_type == AdmissionActionType::Start));
    BOOST_TEST((actions[0].m_id == RequestId{0, 2}));
}

BOOST_AUTO_TEST_CASE(a_light_workspace_evicts_a_request_of_a_heavy_one_from_a_full_queue)
{
    AdmissionController controller(warmLimits(1, 2), 1);
    offer(controller, requestOf(1, "heavy"));
    offer(controller, requestOf(2, "heavy"));
    offer(controller, requestOf(3, "heavy"));
    const AdmissionDecision light = controller.offer(requestOf(4, "light"), start);
    BOOST_TEST((light.m_verdict == AdmissionVerdict::Queued));
    BOOST_REQUIRE(light.m_actions.size() == 1U);
    BOOST_TEST((light.m_actions[0].m_type == AdmissionActionType::Refuse));
    BOOST_TEST((light.m_actions[0].m_id == RequestId{0, 3}));
}

BOOST_AUTO_TEST_CASE(a_request_that_can_not_meet_its_deadline_is_refused_at_once)
{
    AdmissionController controller(warmLimits(1, 8), 1);
    offer(controller, requestOf(1));
    controller.onFinished({0, 1}, RunOutcome::Completed, start + Seconds(2));
    offer(controller, requestOf(2));
    const AdmissionDecision late = controller.offer(requestOf(3, "w", Seconds(3)), start);
    BOOST_TEST((late.m_verdict == AdmissionVerdict::Refused));
    BOOST_TEST((late.m_errorKind == ErrorKind::DeadlineTooShort));
    BOOST_TEST((offer(controller, requestOf(4, "w", Seconds(5))) == AdmissionVerdict::Queued));
}

BOOST_AUTO_TEST_CASE(a_queued_request_is_refused_once_it_can_not_meet_its_deadline)
{
    AdmissionController controller(warmLimits(1, 8), 1);
    offer(controller, requestOf(1));
    offer(controller, requestOf(2, "w", Seconds(5)));
    BOOST_REQUIRE(controller.nextTick().has_value());
    BOOST_TEST((*controller.nextTick() == start + Seconds(5)));
    const auto actions = controller.tick(start + Seconds(6));
    BOOST_REQUIRE(actions.size() == 1U);
    BOOST_TEST((actions[0].m_errorKind == ErrorKind::DeadlineTooShort));
}

BOOST_AUTO_TEST_CASE(a_cancelled_request_leaves_the_queue_but_a_running_one_counts_until_its_end)
{
    AdmissionController controller(warmLimits(1, 1), 1);
    offer(controller, requestOf(1));
    offer(controller, requestOf(2));
    BOOST_TEST(controller.onCancelled({0, 2}, start).empty());
    BOOST_TEST((offer(controller, requestOf(3)) == AdmissionVerdict::Queued));
    BOOST_TEST(controller.onCancelled({0, 1}, start).empty());
    BOOST_TEST(controller.loadReport().m_running == 1U);
}

BOOST_AUTO_TEST_CASE(draining_refuses_new_and_queued_requests_and_finishes_the_running)
{
    AdmissionController controller(warmLimits(1, 4), 1);
    offer(controller, requestOf(1));
    offer(controller, requestOf(2));
    const auto actions = controller.startDraining(start);
    BOOST_REQUIRE(actions.size() == 1U);
    BOOST_TEST((actions[0].m_errorKind == ErrorKind::EndpointLeaving));
    BOOST_TEST((offer(controller, requestOf(3)) == AdmissionVerdict::Refused));
    BOOST_TEST(!controller.isDrained());
    controller.onFinished({0, 1}, RunOutcome::Completed, start);
    BOOST_TEST(controller.isDrained());
}

BOOST_AUTO_TEST_CASE(retry_times_spread_the_retries)
{
    AdmissionController controller(warmLimits(2, 0), 1);
    offer(controller, requestOf(1));
    controller.onFinished({0, 1}, RunOutcome::Completed, start + Milliseconds(100));
    offer(controller, requestOf(2));
    offer(controller, requestOf(3));
    std::multiset<TimePoint> retryTimes;
    for (std::uint64_t id = 4; id < 104; ++id)
        retryTimes.insert(controller.offer(requestOf(id), start).m_retryAfter);
    // One request ends every 50 ms, so 100 retries spread over about 5 s.
    const Duration spread = *retryTimes.rbegin() - *retryTimes.begin();
    BOOST_TEST((spread > Seconds(4)));
    BOOST_TEST((spread < Seconds(6)));
}

BOOST_AUTO_TEST_CASE(a_failed_probe_drops_the_limit_and_cancels_nothing)
{
    AdmissionLimits limits;
    limits.m_coldLimit = 1;
    AdmissionController controller(limits, 1);
    offer(controller, requestOf(1));
    controller.onFinished({0, 1}, RunOutcome::Completed, start);
    offer(controller, requestOf(2));
    const AdmissionDecision delayed = controller.offer(requestOf(3), start);
    BOOST_REQUIRE(delayed.m_actions.size() == 1U);
    BOOST_TEST((delayed.m_actions[0].m_type == AdmissionActionType::Probe));
    BOOST_TEST(controller.onColdStartSignal(ColdStartSignal::ProbeFailed, start).empty());
    BOOST_TEST(controller.loadReport().m_isCold);
    BOOST_TEST(controller.loadReport().m_concurrencyLimit == 1U);
}

BOOST_AUTO_TEST_CASE(a_cold_start_signal_cancels_only_repeatable_requests_beyond_the_limit)
{
    AdmissionLimits limits = warmLimits(1, 8);
    limits.m_warmLimit = 2;
    AdmissionController controller(limits, 1);
    offer(controller, requestOf(1));
    controller.onFinished({0, 1}, RunOutcome::Completed, start);
    RequestAttributes payment = requestOf(2);
    payment.m_repeatable = false;
    offer(controller, payment);
    controller.onResponseHead({0, 2}, {"boot-1", false}, start);
    BOOST_TEST((offer(controller, requestOf(3)) == AdmissionVerdict::Run));
    const auto actions = controller.onColdStartSignal(ColdStartSignal::NewBootId, start);
    BOOST_REQUIRE(actions.size() == 1U);
    BOOST_TEST((actions[0].m_type == AdmissionActionType::Cancel));
    BOOST_TEST((actions[0].m_id == RequestId{0, 3}));
}

BOOST_AUTO_TEST_SUITE_END()
