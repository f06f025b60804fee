#include <burdockhead/rankagent/orderreplies.h>

namespace burdockhead {

void OrderReplies::begin(std::uint64_t round)
{
    m_round = round;
    m_pending = 0;
    m_isAwaiting = true;
    m_hasFailed = false;
}

OrderProgress OrderReplies::onReply(std::uint64_t round, const RankOrder &order, bool isDone,
                                    RankSnapshot *snapshot)
{
    if (!m_isAwaiting || round != m_round)
        return OrderProgress::Ignored;
    if (!isDone || snapshot == nullptr)
        m_hasFailed = true;
    else if (order.m_type == RankOrderType::Arm)
        snapshot->m_armed = ArmedMap{order.m_version, order.m_step};
    if (--m_pending > 0)
        return OrderProgress::Pending;
    m_isAwaiting = false;
    if (m_hasFailed)
        return OrderProgress::Failed;
    return order.m_type == RankOrderType::Hold ? OrderProgress::AwaitingHold : OrderProgress::Done;
}

} // namespace burdockhead
