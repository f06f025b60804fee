#pragma once

#include <burdockhead/admission/admissioncontroller.h>

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace burdockhead {

// The mechanism that is disabled in a model.
enum class DisabledMechanism {
    None,
    Window,       // Before the first signal nothing bounds the load.
    Signals,      // The agent ignores cold start signals.
    RunningCount, // A cancelled request stops counting before its end is confirmed.
    Ordering,     // A probe may overtake requests that were started before it.
    Refusal,      // A draining agent does not refuse requests.
};

// Model of an endpoint and its agent's admission controller in virtual time: cold starts at any
// moment, and responses, resets and probes that are delayed or lost. Invariants: the requests
// received since the last cold start and not ended never exceed the capacity, which grows by one
// with each completed request; no refused request is received; none is started after draining
// begins.
class EndpointModel
{
public:
    explicit EndpointModel(DisabledMechanism disabled);

    // Runs one event: `event` selects its type, `choice` its details.
    void runEvent(std::uint32_t event, std::uint32_t choice);

    // Returns true if no invariant was violated so far.
    bool invariantsHold() const { return m_invariantsHold; }

    // Stops all faults and offers a steady load. Returns true if the limit reaches the warm limit
    // or, when draining, if the agent drains.
    bool recovers();

private:
    // A request or probe sent by the agent.
    struct Transmission
    {
        std::uint64_t m_probeNumber = 0; // 0 for a request.
        RequestId m_id;
    };

    enum class MessageType {
        Response,
        Reset,
        Ended,
        ProbeResponse,
    };

    // A message from the endpoint to the agent.
    struct Message
    {
        MessageType m_type = MessageType::Response;
        RequestId m_id;
        std::uint64_t m_probeNumber = 0;
        EndpointHealth m_health;
    };

    // Orders request ids by their number.
    struct ByLowHalf
    {
        bool operator()(const RequestId &left, const RequestId &right) const
        {
            return left.m_low < right.m_low;
        }
    };

    // A request at the endpoint, with the counts of starts and cold starts on its arrival.
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
    std::deque<Transmission> m_inTransit; // In the order of sending.
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
