#pragma once

#include <burdockhead/admission/admissioncontroller.h>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace burdockhead {

// Which mechanism the world goes without.
enum class DisabledMechanism {
    None,
    Window,       // Only signs hold the load down; nothing does before the first sign.
    Signals,      // The agent takes no notice of signs.
    RunningCount, // A cancelled request stops counting before it is known to have ended.
    Ordering,     // A probe may overtake the requests that were started before it.
    Refusal,      // A leaving agent forgets to refuse.
};

// An endpoint that turns cold at any moment, its agent's controller between them, answers,
// resets and probes that come late or never, in virtual time. The oracle counts what the
// endpoint has received since it last turned and still has: never more than it can carry,
// which grows by one with each request that it completes. It also sees that no refused
// request arrives, and none is started after leaving.
class EndpointModel
{
public:
    explicit EndpointModel(DisabledMechanism disabled);

    // One event; `event` chooses which, `choice` its details.
    void runEvent(std::uint32_t event, std::uint32_t choice);

    bool invariantsHold() const { return m_invariantsHold; }

    // Ends all faults and offers steady work: true when the limit becomes warm again, or,
    // when leaving, when the agent drains.
    bool recovers();

private:
    struct Transmission
    {
        std::uint64_t m_probeNumber = 0; // 0 for a request.
        RequestId m_id;
    };

    enum class MessageType {
        Response,
        Reset,
        Ended,
        ProbeAnswer,
    };

    struct Message
    {
        MessageType m_type = MessageType::Response;
        RequestId m_id;
        std::uint64_t m_probeNumber = 0;
        EndpointHealth m_health;
    };

    // Orders the ids as the world numbers them.
    struct ByLowHalf
    {
        bool operator()(const RequestId &left, const RequestId &right) const
        {
            return left.m_low < right.m_low;
        }
    };

    // A request at the endpoint, and the turn that it came after.
    struct ReceivedRequest
    {
        std::uint64_t m_boot = 0;
        std::uint64_t m_coldStarts = 0;
    };

    void offer(std::uint32_t choice);
    void deliverRequest();
    void restart(bool isSilent);
    void turnCold();
    void complete(std::uint32_t choice);
    void deliverMessage(std::uint32_t choice);
    void apply(const std::vector<AdmissionAction> &actions);
    void cancel(const RequestId &id);
    void startDraining();
    void check();
    EndpointHealth health() const;

    DisabledMechanism m_disabled;
    AdmissionController m_controller;
    TimePoint m_now;
    std::deque<Transmission> m_inTransit; // In the order in which the agent sent them.
    std::map<RequestId, ReceivedRequest, ByLowHalf> m_received;
    std::vector<Message> m_messages;
    std::set<RequestId, ByLowHalf> m_refused;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_boot = 1;
    std::uint64_t m_coldStarts = 1;
    std::uint32_t m_completedSinceColdStart = 0;
    bool m_isReportedCold = false;
    bool m_isDraining = false;
    bool m_invariantsHold = true;
};

} // namespace burdockhead
