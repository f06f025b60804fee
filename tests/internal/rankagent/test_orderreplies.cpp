#include <burdockhead/rankagent/orderreplies.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

constexpr std::uint64_t step = 9;
const RankOrder armOrder = {1, RankOrderType::Arm, 1, 5, step};
const RankOrder holdOrder = {1, RankOrderType::Hold, 1, 0, step};
const RankOrder resumeOrder = {1, RankOrderType::Resume, 1, 0, step};

} // namespace

BOOST_AUTO_TEST_SUITE(OrderRepliesTest)

BOOST_AUTO_TEST_CASE(a_reply_to_an_order_to_arm_shows_its_rank_as_armed)
{
    OrderReplies replies;
    RankSnapshot snapshot;
    replies.begin(1);
    replies.expect();
    replies.expect();
    BOOST_TEST((replies.onReply(1, armOrder, true, &snapshot) == OrderProgress::Pending));
    BOOST_TEST((snapshot.m_armed == ArmedMap{5, step}));
    BOOST_TEST(replies.isAwaiting());
    BOOST_TEST((replies.onReply(1, armOrder, true, &snapshot) == OrderProgress::Done));
    BOOST_TEST(!replies.isAwaiting());
}

// A late reply to an order to resume once showed its rank as armed with version 0, so that all
// ranks were disarmed.
BOOST_AUTO_TEST_CASE(a_reply_to_an_order_of_an_earlier_round_changes_nothing)
{
    OrderReplies replies;
    RankSnapshot snapshot;
    replies.begin(2);
    replies.expect();
    BOOST_TEST((replies.onReply(1, resumeOrder, true, &snapshot) == OrderProgress::Ignored));
    BOOST_TEST((replies.onReply(1, armOrder, true, &snapshot) == OrderProgress::Ignored));
    BOOST_TEST((snapshot == RankSnapshot()));
    BOOST_TEST(replies.isAwaiting());
}

BOOST_AUTO_TEST_CASE(only_replies_to_orders_to_arm_change_a_snapshot)
{
    OrderReplies replies;
    RankSnapshot snapshot;
    replies.begin(1);
    replies.expect();
    replies.expect();
    replies.onReply(1, resumeOrder, true, &snapshot);
    // Another coordinator may have armed the rank between its snapshot and the hold.
    BOOST_TEST((replies.onReply(1, holdOrder, true, &snapshot) == OrderProgress::AwaitingHold));
    BOOST_TEST((snapshot == RankSnapshot()));
}

BOOST_AUTO_TEST_CASE(a_round_fails_with_one_refused_order_once_all_replies_have_arrived)
{
    OrderReplies replies;
    RankSnapshot snapshot;
    replies.begin(1);
    replies.expect();
    replies.expect();
    BOOST_TEST((replies.onReply(1, armOrder, false, &snapshot) == OrderProgress::Pending));
    BOOST_TEST((replies.onReply(1, armOrder, true, nullptr) == OrderProgress::Failed));
    BOOST_TEST((snapshot == RankSnapshot()));
}

BOOST_AUTO_TEST_SUITE_END()
