#pragma once

#include <burdockhead/rankagent/rankorder.h>
#include <burdockhead/rankagent/ranksnapshot.h>

#include <cstddef>
#include <cstdint>
#include <utility>

namespace burdockhead {

// What the replies to a round's orders say so far.
enum class OrderProgress : std::uint8_t {
    Ignored,      // The reply is to an order of an earlier round.
    Pending,      // Further replies are awaited.
    Done,         // All orders have been carried out.
    Failed,       // At least one was refused or got no reply.
    AwaitingHold, // The group may be held; the rank that holds it has to be read again.
};

// Awaits the replies to the orders of one round. While the group is held every message delays it,
// so that a successful reply to an order to arm stands for a further snapshot of its rank. No other
// order does: between the snapshot and the reply to a hold, another coordinator may have armed the
// rank.
class OrderReplies
{
public:
    // Starts to await the replies to the orders of the round with this number; those to orders of
    // earlier rounds are ignored from now on.
    void begin(std::uint64_t round);

    // Ignores all replies to orders that have been sent so far.
    void end() { m_isAwaiting = false; }

    // Awaits one further reply.
    void expect() { ++m_pending; }

    bool isAwaiting() const { return m_isAwaiting && m_pending > 0; }

    // Handles a reply. Updates the snapshot of the order's rank, null if there is none.
    OrderProgress onReply(std::uint64_t round, const RankOrder &order, bool isDone,
                          RankSnapshot *snapshot);

    friend bool operator==(const OrderReplies &, const OrderReplies &) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash hash, const OrderReplies &replies)
    {
        return Hash::combine(std::move(hash), replies.m_round, replies.m_pending,
                             replies.m_isAwaiting, replies.m_hasFailed);
    }

private:
    std::uint64_t m_round = 0;
    std::size_t m_pending = 0;
    bool m_isAwaiting = false;
    bool m_hasFailed = false;
};

} // namespace burdockhead
