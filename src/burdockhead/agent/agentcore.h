#pragma once

#include <burdockhead/admission/admissioncontroller.h>
#include <burdockhead/agent/agentcounters.h>
#include <burdockhead/agent/agentrequest.h>
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
using AgentAdmissionGate = std::function<std::optional<ErrorKind>()>;

// Everything that an agent decides and does about requests: admission, the ledger, the
// calls to the endpoint and the answers to entries. Safe from any thread; its one lock is
// held while frames and calls are queued, never while a callback runs.
class AgentCore : public std::enable_shared_from_this<AgentCore>
{
public:
    AgentCore(EndpointName endpoint, Incarnation incarnation, WorkerPool &pool,
              EndpointClient &client, EventRing &events, AgentAdmissionGate gate,
              std::uint64_t seed);

    // Starts the periodic checks.
    void start();

    // Takes over an accepted link.
    void addConnection(const FrameConnectionPointer &connection, const HelloFrame &hello);

    // Takes over the limits and shares of a configuration.
    void applyConfiguration(const Configuration &configuration);

    // Refuses new work until stopLeaving() and finishes what runs.
    void startDraining();

    // Takes new work again, after the data centre was brought back.
    void stopDraining();

    // Refuses new work for good and finishes what runs.
    void startShutdown();

    // True when leaving and nothing runs or is being sent any more.
    bool isDrained() const;

    LoadReport loadReport() const;
    AgentCounters counters() const;

private:
    LoadReport loadReportLocked() const;
    using Lock = std::unique_lock<std::mutex>;
    using AgentRequestPointer = std::shared_ptr<AgentRequest>;

    void onFrame(const FrameConnectionPointer &connection, const Frame &frame);
    void onDispatch(const FrameConnectionPointer &connection, const DispatchFrame &frame);
    void onLookup(const FrameConnectionPointer &connection, const DispatchFrame &frame);
    void onCancel(const AttemptId &attempt);
    void onClosed(const FrameConnectionPointer &connection);
    void admit(const FrameConnectionPointer &connection, const DispatchFrame &frame, TimePoint now);
    void replay(const ResponseSubscriber &subscriber, const StoredAnswer &answer);
    void attach(const ResponseSubscriber &subscriber, const DispatchFrame &frame);

    void perform(const std::vector<AdmissionAction> &actions);
    void run(const AgentRequestPointer &request);
    void probe(std::uint64_t number);
    void onHead(const RequestId &id, int status, const std::string &contentType,
                const EndpointHealth &health);
    void onData(const RequestId &id, std::string_view data);
    void onDone(const RequestId &id, const HttpOutcome &outcome);
    void complete(AgentRequest &request, TimePoint now);
    void failRunning(AgentRequest &request, const HttpOutcome &outcome, TimePoint now);
    void abandon(const AgentRequestPointer &request);
    void finishCancelled(const RequestId &id);

    void refuse(const ResponseSubscriber &subscriber, ErrorKind kind, RunState runState,
                const std::string &reason, TimePoint comeBack);
    void refuseAll(AgentRequest &request, ErrorKind kind, RunState runState,
                   const std::string &reason, TimePoint comeBack);
    void send(AgentRequest &request, const std::function<Frame(const AttemptId &)> &frameFor);
    void record(EventType type, const RequestFacts &facts, const std::string &reason);
    void remove(const AgentRequestPointer &request);
    AgentRequestPointer find(const RequestId &id) const;
    void tick();
    void probePeriodically();

    const EndpointName m_endpoint;
    const Incarnation m_incarnation;
    WorkerPool &m_pool;
    EndpointClient &m_client;
    EventRing &m_events;
    const AgentAdmissionGate m_admissionGate;

    mutable std::mutex m_mutex;
    Random m_random;
    AdmissionController m_admission;
    RequestLedger m_ledger;
    std::unordered_map<RequestId, AgentRequestPointer> m_requests;
    std::unordered_map<AttemptId, RequestId> m_requestByAttempt;
    std::unordered_map<std::string, RequestId> m_requestByKey;
    AgentCounters m_counters;
    bool m_isShuttingDown = false;
};

} // namespace burdockhead
