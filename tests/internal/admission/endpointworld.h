#pragma once

#include <burdockhead/admission/admissioncontroller.h>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace burdockhead {

// Which mechanism the world goes without.
enum class WithoutHold {
    Nothing,
    Window,   // Only signs hold the load down; nothing does before the first sign.
    Signs,    // The agent takes no notice of signs.
    Counting, // A cancelled request stops counting before it is known to have ended.
    Order,    // A probe may overtake the requests that were started before it.
    Refusal,  // A leaving agent forgets to refuse.
};

// An endpoint that turns cold at any moment, its agent's controller between them, answers,
// resets and probes that come late or never, in virtual time. The oracle counts what the
// endpoint has received since it last turned and still has: never more than it can carry,
// which grows by one with each request that it completes. It also sees that no refused
// request arrives, and none is started after leaving.
class EndpointWorld
{
public:
    explicit EndpointWorld(WithoutHold without);

    // One event; `event` chooses which, `choice` its details.
    void step(std::uint32_t event, std::uint32_t choice);

    bool holds() const { return m_holds; }

    // Ends all faults and offers steady work: true when the limit becomes warm again, or,
    // when leaving, when the agent drains.
    bool recovers();

private:
    struct Sent
    {
        std::uint64_t m_probe = 0; // 0 for a request.
        RequestId m_id;
    };

    enum class WordType {
        Response,
        Reset,
        Ended,
        ProbeAnswer,
    };

    struct Word
    {
        WordType m_type = WordType::Response;
        RequestId m_id;
        std::uint64_t m_probe = 0;
        EndpointHealth m_health;
    };

    // Orders the ids as the world numbers them.
    struct ByNumber
    {
        bool operator()(const RequestId &left, const RequestId &right) const
        {
            return left.m_low < right.m_low;
        }
    };

    // A request at the endpoint, and the turn that it came after.
    struct Load
    {
        std::uint64_t m_boot = 0;
        std::uint64_t m_turn = 0;
    };

    void offer(std::uint32_t choice);
    void arrive();
    void restart(bool silent);
    void coolDown();
    void complete(std::uint32_t choice);
    void hear(std::uint32_t choice);
    void apply(const std::vector<AdmissionAction> &actions);
    void cancel(const RequestId &id);
    void leave();
    void check();
    EndpointHealth health() const;

    WithoutHold m_without;
    AdmissionController m_controller;
    TimePoint m_now;
    std::deque<Sent> m_connecting; // In the order in which the agent sent them.
    std::map<RequestId, Load, ByNumber> m_load;
    std::vector<Word> m_words;
    std::set<RequestId, ByNumber> m_refused;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_boot = 1;
    std::uint64_t m_turn = 1;
    std::uint32_t m_completedSinceTurn = 0;
    bool m_saysCold = false;
    bool m_left = false;
    bool m_holds = true;
};

} // namespace burdockhead
