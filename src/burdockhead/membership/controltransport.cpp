#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/membership/abandonabletask.h>
#include <burdockhead/membership/controltransport.h>
#include <burdockhead/observe/log.h>

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace burdockhead {

namespace {

constexpr std::size_t workerCount = 8;
constexpr std::size_t maxMessageBytes = 8 << 20;
constexpr std::size_t framingBytes = 12; // nng's length and request id.
constexpr nng_duration minReconnectDelayMs = 100;
constexpr nng_duration maxReconnectDelayMs = 2000;
// How long a stop waits for the library to close its sockets, which takes milliseconds.
constexpr Milliseconds closeTimeout{1000};

// Closes a socket on a thread of its own: nng_close sometimes never returns under load (1.5.2).
AbandonableTask closeSocket(nng_socket socket)
{
    return AbandonableTask([socket] { nng_close(socket); });
}

nng_msg *makeMessage(const std::string &bytes)
{
    nng_msg *message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0)
        return nullptr;
    nng_msg_append(message, bytes.data(), bytes.size());
    return message;
}

std::string bodyText(nng_msg *message)
{
    return {static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message)};
}

std::string nngUrl(const SocketAddress &address)
{
    return "tcp://" + address.toString();
}

struct TrafficCounters
{
    std::atomic<std::uint64_t> m_bytesSent = 0;
    std::atomic<std::uint64_t> m_bytesReceived = 0;
    std::atomic<std::uint64_t> m_messagesSent = 0;
    std::atomic<std::uint64_t> m_messagesReceived = 0;
    std::atomic<std::uint64_t> m_failedCalls = 0;

    void countSent(std::size_t bytes)
    {
        m_bytesSent += bytes + framingBytes;
        ++m_messagesSent;
    }
    void countReceived(std::size_t bytes)
    {
        m_bytesReceived += bytes + framingBytes;
        ++m_messagesReceived;
    }
};

// Connection to one peer, shared by all calls to it.
struct PeerConnection
{
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    std::atomic<std::size_t> m_callCount = 0;
    std::atomic<bool> m_hasFailed = false;
    bool m_isClosing = false; // The transport closes the socket itself.

    ~PeerConnection()
    {
        if (!m_isClosing)
            closeSocket(m_socket);
    }
};

struct Call;

// The calls in progress. Its mutex is held while the library takes over an operation of a call, so
// that a call that has left the registry, and with it the context, isn't in use anywhere: contexts
// that go while their socket is being closed make the library (1.5.2) hang or abort. Recursive,
// since the library may report an operation's end on the thread that began it.
class CallRegistry
{
public:
    // Begins the next operation of a call that is registered then. Returns false after
    // cancelAll().
    bool begin(Call &call, const std::function<void()> &operation)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isCancelled)
            return false;
        m_calls.insert(&call);
        operation();
        return true;
    }

    void remove(Call &call)
    {
        const std::lock_guard lock(m_mutex);
        m_calls.erase(&call);
        m_callRemoved.notify_all();
    }

    // Cancels all calls and waits until they have ended.
    void cancelAll();

private:
    std::recursive_mutex m_mutex;
    std::condition_variable_any m_callRemoved;
    std::set<Call *> m_calls;
    bool m_isCancelled = false;
};

// One outgoing message and its reply. Deletes itself when it ends.
struct Call
{
    std::shared_ptr<PeerConnection> m_connection;
    nng_ctx m_context = NNG_CTX_INITIALIZER;
    nng_aio *m_aio = nullptr;
    TimePoint m_deadline;
    bool m_isSent = false;
    ControlCompletion m_completion;
    TrafficCounters *m_traffic = nullptr;
    CallRegistry *m_calls = nullptr;

    void onAioCompleted();
    void startReceive();
    void finish(std::optional<std::string> reply);
};

void CallRegistry::cancelAll()
{
    std::unique_lock lock(m_mutex);
    m_isCancelled = true;
    for (Call *call : m_calls)
        nng_aio_cancel(call->m_aio);
    m_callRemoved.wait(lock, [this] { return m_calls.empty(); });
}

void Call::onAioCompleted()
{
    if (nng_aio_result(m_aio) != 0) {
        if (!m_isSent) {
            if (nng_msg *unsent = nng_aio_get_msg(m_aio))
                nng_msg_free(unsent);
        }
        finish(std::nullopt);
        return;
    }
    if (!m_isSent) {
        m_isSent = true;
        if (!m_calls->begin(*this, [this] { startReceive(); }))
            finish(std::nullopt);
        return;
    }
    nng_msg *message = nng_aio_get_msg(m_aio);
    std::string body = bodyText(message);
    nng_msg_free(message);
    m_traffic->countReceived(body.size());
    const bool isHandled = !body.empty() && body.front() == 1;
    finish(isHandled ? std::optional(body.substr(1)) : std::nullopt);
}

void Call::startReceive()
{
    const auto remaining = millisecondsUntil(m_deadline, Clock::now());
    nng_aio_set_timeout(m_aio, static_cast<nng_duration>(remaining + 1));
    nng_ctx_recv(m_context, m_aio);
}

// The completion runs before the call leaves the registry, so that close() waits for it, and the
// connection is released after, since it may be closed then.
void Call::finish(std::optional<std::string> reply)
{
    if (!reply) {
        ++m_traffic->m_failedCalls;
        m_connection->m_hasFailed = true;
    }
    m_completion(std::move(reply));
    nng_ctx_close(m_context);
    nng_aio_reap(m_aio);
    const std::shared_ptr<PeerConnection> connection = std::move(m_connection);
    m_calls->remove(*this);
    --connection->m_callCount;
    delete this;
}

// The connections that peers have made to the listening socket. Called on the library's threads.
class IncomingPipes
{
public:
    void setMax(std::size_t maxPipes) { m_maxPipes = maxPipes; }

    // Decides on a pipe before it is used.
    void onAdding(nng_pipe pipe)
    {
        const std::lock_guard lock(m_mutex);
        if (m_silent.size() + m_known.size() < m_maxPipes)
            return;
        if (m_silent.empty()) {
            nng_pipe_close(pipe);
            return;
        }
        // Ids are given in the order of the connections.
        const auto oldest = m_silent.begin();
        nng_pipe_close(nng_pipe{static_cast<std::uint32_t>(*oldest)});
        m_silent.erase(oldest);
    }

    void onAdded(nng_pipe pipe)
    {
        const std::lock_guard lock(m_mutex);
        m_silent.insert(nng_pipe_id(pipe));
    }

    void onMessage(nng_pipe pipe)
    {
        const std::lock_guard lock(m_mutex);
        const int id = nng_pipe_id(pipe);
        if (m_silent.erase(id) > 0)
            m_known.insert(id);
    }

    void onRemoved(nng_pipe pipe)
    {
        const std::lock_guard lock(m_mutex);
        m_silent.erase(nng_pipe_id(pipe));
        m_known.erase(nng_pipe_id(pipe));
    }

private:
    std::mutex m_mutex;
    std::size_t m_maxPipes = 0;
    std::set<int> m_silent; // No message has come on them.
    std::set<int> m_known;
};

// Handles incoming messages one at a time: receives, replies, receives again.
struct Worker
{
    nng_ctx m_context = NNG_CTX_INITIALIZER;
    nng_aio *m_aio = nullptr;
    bool m_isSending = false;
    const ControlDispatcher *m_dispatcher = nullptr;
    TrafficCounters *m_traffic = nullptr;
    IncomingPipes *m_pipes = nullptr;

    void onAioCompleted();
    void startReceive();
    std::string makeReply(const std::string &body) const;
};

void Worker::startReceive()
{
    m_isSending = false;
    nng_ctx_recv(m_context, m_aio);
}

std::string Worker::makeReply(const std::string &body) const
{
    MessageReader reader(body);
    const std::uint64_t type = reader.number();
    const std::string payload = reader.text();
    auto reply = reader.complete() ? (*m_dispatcher)(type, payload) : std::nullopt;
    return reply ? '\1' + *reply : std::string(1, '\0');
}

void Worker::onAioCompleted()
{
    const int result = nng_aio_result(m_aio);
    if (m_isSending && result != 0)
        nng_msg_free(nng_aio_get_msg(m_aio));
    if (result == NNG_ECLOSED || result == NNG_ECANCELED)
        return;
    if (m_isSending || result != 0) {
        startReceive();
        return;
    }
    nng_msg *message = nng_aio_get_msg(m_aio);
    const std::string body = bodyText(message);
    m_pipes->onMessage(nng_msg_get_pipe(message));
    nng_msg_free(message);
    m_traffic->countReceived(body.size());
    const std::string reply = makeReply(body);
    m_traffic->countSent(reply.size());
    m_isSending = true;
    nng_aio_set_msg(m_aio, makeMessage(reply));
    nng_ctx_send(m_context, m_aio);
}

} // namespace

struct ControlTransport::Private
{
    ControlDispatcher m_dispatcher;
    TrafficCounters m_traffic;
    CallRegistry m_calls;
    IncomingPipes m_pipes;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    bool m_isListening = false;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::mutex m_mutex;
    bool m_isClosed = false;
    std::map<std::string, std::shared_ptr<PeerConnection>> m_connections;

    std::shared_ptr<PeerConnection> acquireConnection(const SocketAddress &address);
    bool addWorker();
};

std::shared_ptr<PeerConnection>
ControlTransport::Private::acquireConnection(const SocketAddress &address)
{
    const std::lock_guard lock(m_mutex);
    if (m_isClosed)
        return nullptr;
    std::shared_ptr<PeerConnection> &connection = m_connections[nngUrl(address)];
    if (!connection) {
        connection = std::make_shared<PeerConnection>();
        if (nng_req0_open(&connection->m_socket) != 0) {
            m_connections.erase(nngUrl(address));
            return nullptr;
        }
        nng_socket_set_ms(connection->m_socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
        nng_socket_set_ms(connection->m_socket, NNG_OPT_RECONNMINT, minReconnectDelayMs);
        nng_socket_set_ms(connection->m_socket, NNG_OPT_RECONNMAXT, maxReconnectDelayMs);
        nng_socket_set_size(connection->m_socket, NNG_OPT_RECVMAXSZ, maxMessageBytes);
        nng_dial(connection->m_socket, nngUrl(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }
    ++connection->m_callCount;
    return connection;
}

bool ControlTransport::Private::addWorker()
{
    auto worker = std::make_unique<Worker>();
    worker->m_dispatcher = &m_dispatcher;
    worker->m_traffic = &m_traffic;
    worker->m_pipes = &m_pipes;
    const auto onAioCompleted = [](void *context) {
        static_cast<Worker *>(context)->onAioCompleted();
    };
    if (nng_ctx_open(&worker->m_context, m_socket) != 0)
        return false;
    if (nng_aio_alloc(&worker->m_aio, onAioCompleted, worker.get()) != 0)
        return false;
    m_workers.push_back(std::move(worker));
    return true;
}

ControlTransport::ControlTransport(ControlDispatcher dispatcher)
    : m_d(std::make_unique<Private>())
{
    m_d->m_dispatcher = std::move(dispatcher);
}

ControlTransport::~ControlTransport()
{
    close();
}

bool ControlTransport::listen(const SocketAddress &address, std::size_t maxConnections,
                              Failure &failure)
{
    failure = {ErrorKind::Internal, "can't listen at " + address.toString()};
    if (nng_rep0_open(&m_d->m_socket) != 0)
        return false;
    m_d->m_isListening = true;
    nng_socket_set_size(m_d->m_socket, NNG_OPT_RECVMAXSZ, maxMessageBytes);
    m_d->m_pipes.setMax(maxConnections);
    const auto notify = [this](nng_pipe_ev event, nng_pipe_cb callback) {
        (void)nng_pipe_notify(m_d->m_socket, event, callback, &m_d->m_pipes);
    };
    notify(NNG_PIPE_EV_ADD_PRE, [](nng_pipe pipe, nng_pipe_ev, void *pipes) {
        static_cast<IncomingPipes *>(pipes)->onAdding(pipe);
    });
    notify(NNG_PIPE_EV_ADD_POST, [](nng_pipe pipe, nng_pipe_ev, void *pipes) {
        static_cast<IncomingPipes *>(pipes)->onAdded(pipe);
    });
    notify(NNG_PIPE_EV_REM_POST, [](nng_pipe pipe, nng_pipe_ev, void *pipes) {
        static_cast<IncomingPipes *>(pipes)->onRemoved(pipe);
    });
    for (std::size_t index = 0; index < workerCount; ++index) {
        if (!m_d->addWorker())
            return false;
    }
    const int result = nng_listen(m_d->m_socket, nngUrl(address).c_str(), nullptr, 0);
    if (result != 0) {
        failure.m_reason += std::string(": ") + nng_strerror(result);
        return false;
    }
    for (const auto &worker : m_d->m_workers)
        worker->startReceive();
    return true;
}

void ControlTransport::send(const SocketAddress &peer, std::uint64_t type,
                            const std::string &payload, TimePoint deadline,
                            ControlCompletion completion)
{
    std::shared_ptr<PeerConnection> connection = m_d->acquireConnection(peer);
    if (!connection) {
        completion(std::nullopt);
        return;
    }
    auto *call = new Call;
    call->m_connection = std::move(connection);
    call->m_deadline = deadline;
    call->m_completion = std::move(completion);
    call->m_traffic = &m_d->m_traffic;
    call->m_calls = &m_d->m_calls;
    const auto onAioCompleted = [](void *context) {
        static_cast<Call *>(context)->onAioCompleted();
    };
    nng_aio_alloc(&call->m_aio, onAioCompleted, call);
    if (nng_ctx_open(&call->m_context, call->m_connection->m_socket) != 0) {
        call->finish(std::nullopt);
        return;
    }
    MessageWriter writer;
    const std::string bytes = writer.number(type).text(payload).take();
    m_d->m_traffic.countSent(bytes.size());
    const auto sendMessage = [&] {
        const auto remaining = millisecondsUntil(deadline, Clock::now());
        nng_aio_set_timeout(call->m_aio, static_cast<nng_duration>(remaining + 1));
        nng_aio_set_msg(call->m_aio, makeMessage(bytes));
        nng_ctx_send(call->m_context, call->m_aio);
    };
    if (!m_d->m_calls.begin(*call, sendMessage))
        call->finish(std::nullopt);
}

void ControlTransport::closeFailedConnections()
{
    std::vector<std::shared_ptr<PeerConnection>> failedConnections;
    const std::lock_guard lock(m_d->m_mutex);
    for (auto connection = m_d->m_connections.begin(); connection != m_d->m_connections.end();) {
        if (connection->second->m_hasFailed && connection->second->m_callCount == 0) {
            failedConnections.push_back(std::move(connection->second));
            connection = m_d->m_connections.erase(connection);
        } else {
            ++connection;
        }
    }
}

void ControlTransport::close()
{
    std::map<std::string, std::shared_ptr<PeerConnection>> connections;
    {
        const std::lock_guard lock(m_d->m_mutex);
        if (m_d->m_isClosed)
            return;
        m_d->m_isClosed = true;
        connections.swap(m_d->m_connections);
    }
    // No context may be in use, or be closed, while its socket is being closed.
    m_d->m_calls.cancelAll();
    for (const auto &worker : m_d->m_workers) {
        nng_aio_stop(worker->m_aio);
        nng_ctx_close(worker->m_context);
        nng_aio_free(worker->m_aio);
    }
    m_d->m_workers.clear();
    std::vector<AbandonableTask> closings;
    for (const auto &[url, connection] : connections) {
        connection->m_isClosing = true;
        closings.push_back(closeSocket(connection->m_socket));
    }
    if (m_d->m_isListening)
        closings.push_back(closeSocket(m_d->m_socket));
    const TimePoint deadline = Clock::now() + closeTimeout;
    const auto abandoned =
        std::count_if(closings.begin(), closings.end(),
                      [&](const AbandonableTask &closing) { return !closing.waitUntil(deadline); });
    if (abandoned > 0)
        logWarning("control_sockets_abandoned", {{"sockets", abandoned}});
}

MembershipCounters ControlTransport::counters() const
{
    MembershipCounters counters;
    counters.m_bytesSent = m_d->m_traffic.m_bytesSent;
    counters.m_bytesReceived = m_d->m_traffic.m_bytesReceived;
    counters.m_messagesSent = m_d->m_traffic.m_messagesSent;
    counters.m_messagesReceived = m_d->m_traffic.m_messagesReceived;
    counters.m_failedCalls = m_d->m_traffic.m_failedCalls;
    return counters;
}

} // namespace burdockhead
