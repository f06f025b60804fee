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

// Returns why new requests are currently refused; none if they are accepted.
using AgentRefusalCheck = std::function<std::optional<ErrorKind>()>;

// Request handling of an agent: admission, the idempotency ledger, calls to the endpoint and
// responses to entries. Thread-safe; its one mutex is held while frames and calls are queued,
// never while a callback runs.
class AgentCore : public std::enable_shared_from_this<AgentCore>
{
public:
    AgentCore(EndpointName endpoint, Incarnation incarnation, WorkerPool &pool,
              EndpointClient &client, EventRing &events, AgentRefusalCheck refusalCheck,
              std::uint64_t seed);

    // Starts the periodic timers and probes.
    void start();

    // Starts an accepted connection and sends the hello frame.
    void addConnection(const FrameConnectionPointer &connection, const HelloFrame &hello);

    // Applies the limits and shares of a configuration.
    void applyConfiguration(const Configuration &configuration);

    // Refuses new requests until stopDraining(); running ones continue.
    void startDraining();

    // Accepts new requests again, after the data centre was brought back.
    void stopDraining();

    // Refuses new requests permanently; running ones continue.
    void startShutdown();

    // Returns true when draining, and no request runs or still has a response to send.
    bool isDrained() const;

    // Returns the current load; locks the mutex.
    LoadReport loadReport() const;
    // Returns a copy of the counters; locks the mutex.
    AgentCounters counters() const;

private:
    // Returns the current load; the caller holds the mutex.
    LoadReport loadReportLocked() const;
    using Lock = std::unique_lock<std::mutex>;
    using AgentRequestPointer = std::shared_ptr<AgentRequest>;

    void onFrame(const FrameConnectionPointer &connection, const Frame &frame);
    void onDispatch(const FrameConnectionPointer &connection, const DispatchFrame &frame);
    // Replies whether a request with a key has run, still runs, or never started; starts nothing.
    void onLookup(const FrameConnectionPointer &connection, const DispatchFrame &frame);
    void onCancel(const AttemptId &attempt);
    void onClosed(const FrameConnectionPointer &connection);
    void admit(const FrameConnectionPointer &connection, const DispatchFrame &frame, TimePoint now);
    // Sends the stored response of a completed request.
    void replay(const ResponseSubscriber &subscriber, const StoredResponse &response);
    // Subscribes to the response of a request that already runs for another attempt with the same
    // key.
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
    // Ends a request whose connection was closed before its response ended, once the endpoint has
    // had closedSettleTime to detect that.
    void finishClosed(const RequestId &id);

    // Refuses an attempt; `retryAfter` is the time, not the delay, from which a retry may be sent.
    void refuse(const ResponseSubscriber &subscriber, ErrorKind kind, RunState runState,
                const std::string &reason, TimePoint retryAfter);
    // Refuses all subscribers of a request.
    void refuseAll(AgentRequest &request, ErrorKind kind, RunState runState,
                   const std::string &reason, TimePoint retryAfter);
    void send(AgentRequest &request, const std::function<Frame(const AttemptId &)> &frameFor);
    void record(EventType type, const RequestAttributes &attributes, const std::string &reason);
    void remove(const AgentRequestPointer &request);
    AgentRequestPointer find(const RequestId &id) const;
    void tick();
    void probePeriodically();

    const EndpointName m_endpoint;
    const Incarnation m_incarnation;
    WorkerPool &m_pool;
    EndpointClient &m_client;
    EventRing &m_events;
    const AgentRefusalCheck m_refusalCheck;

    mutable std::mutex m_mutex;
    Random m_random;
    AdmissionController m_admission;
    RequestLedger m_ledger;
    // Queued and running requests, and cancelled ones whose end is not confirmed.
    std::unordered_map<RequestId, AgentRequestPointer> m_requests;
    std::unordered_map<AttemptId, RequestId> m_requestByAttempt;
    std::unordered_map<std::string, RequestId> m_requestByKey;
    AgentCounters m_counters;
    bool m_isShuttingDown = false;
};

} // namespace burdockhead
