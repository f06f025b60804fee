#pragma once

#include <burdockhead/admission/admissioncontroller.h>
#include <burdockhead/agent/agentcounters.h>
#include <burdockhead/agent/agentwork.h>
#include <burdockhead/agent/endpointclient.h>
#include <burdockhead/base/random.h>
#include <burdockhead/configuration/versionedconfiguration.h>
#include <burdockhead/idempotency/requestledger.h>
#include <burdockhead/observe/eventtype.h>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace burdockhead {

class EventRing;
class WorkerPool;

// Says whether new work may be taken now; if not, why.
using AgentGate = std::function<std::optional<ErrorKind>()>;

// Everything that an agent decides and does about requests: admission, the ledger, the
// calls to the endpoint and the answers to entries. Safe from any thread; its one lock is
// held while frames and calls are queued, never while a callback runs.
class AgentCore : public std::enable_shared_from_this<AgentCore>
{
public:
    AgentCore(EndpointName endpoint, Incarnation incarnation, WorkerPool &pool,
              EndpointClient &client, EventRing &events, AgentGate gate, std::uint64_t seed);

    // Starts the periodic checks.
    void start();

    // Takes over an accepted link.
    void takeConnection(const FrameConnectionPointer &connection, const HelloFrame &own);

    // Takes over the limits and shares of a configuration.
    void applyConfiguration(const Configuration &configuration);

    // Refuses new work until stopLeaving() and finishes what runs.
    void startLeaving();

    // Takes new work again, after the data centre was brought back.
    void stopLeaving();

    // Refuses new work for good and finishes what runs.
    void startStopping();

    // True when leaving and nothing runs or is being sent any more.
    bool drained() const;

    LoadReport report() const;
    AgentCounters counters() const;

private:
    LoadReport loadReport() const;
    using Lock = std::unique_lock<std::mutex>;
    using WorkPointer = std::shared_ptr<AgentWork>;

    void onFrame(const FrameConnectionPointer &connection, const Frame &frame);
    void onDispatch(const FrameConnectionPointer &connection, const DispatchFrame &frame);
    void onLookUp(const FrameConnectionPointer &connection, const DispatchFrame &frame);
    void onCancel(const AttemptId &attempt);
    void onClosed(const FrameConnectionPointer &connection);
    void admit(const FrameConnectionPointer &connection, const DispatchFrame &frame, TimePoint now);
    void replay(const AnswerSubscriber &subscriber, const StoredResponse &answer);
    void attach(const AnswerSubscriber &subscriber, const DispatchFrame &frame);

    void perform(const std::vector<AdmissionAction> &actions);
    void run(const WorkPointer &work);
    void probe(std::uint64_t number);
    void onHead(const RequestId &id, int status, const std::string &contentType,
                const EndpointHealth &health);
    void onData(const RequestId &id, std::string_view data);
    void onDone(const RequestId &id, const HttpOutcome &outcome);
    void complete(AgentWork &work, TimePoint now);
    void failRunning(AgentWork &work, const HttpOutcome &outcome, TimePoint now);
    void abandon(const WorkPointer &work);
    void settleCancelled(const RequestId &id);

    void refuse(const AnswerSubscriber &subscriber, ErrorKind kind, RunState runState,
                const std::string &reason, TimePoint comeBack);
    void refuseAll(AgentWork &work, ErrorKind kind, RunState runState, const std::string &reason,
                   TimePoint comeBack);
    void send(AgentWork &work, const std::function<Frame(const AttemptId &)> &frameFor);
    void record(EventType type, const RequestFacts &facts, const std::string &reason);
    void forget(const WorkPointer &work);
    WorkPointer find(const RequestId &id) const;
    void tick();
    void probeRegularly();

    const EndpointName m_endpoint;
    const Incarnation m_incarnation;
    WorkerPool &m_pool;
    EndpointClient &m_client;
    EventRing &m_events;
    const AgentGate m_gate;

    mutable std::mutex m_mutex;
    Random m_random;
    AdmissionController m_admission;
    RequestLedger m_ledger;
    std::unordered_map<RequestId, WorkPointer> m_works;
    std::unordered_map<AttemptId, RequestId> m_byAttempt;
    std::unordered_map<std::string, RequestId> m_byKey;
    AgentCounters m_counters;
    bool m_stopping = false;
};

} // namespace burdockhead
