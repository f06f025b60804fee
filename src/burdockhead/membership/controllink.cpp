#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/membership/controllink.h>

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

namespace burdockhead {

namespace {

constexpr std::size_t workerCount = 8;
constexpr std::size_t largestMessage = 8 << 20;
constexpr std::size_t framingBytes = 12; // nng's length and request id.
constexpr nng_duration reconnectFirst = 100;
constexpr nng_duration reconnectLast = 2000;

nng_msg *makeMessage(const std::string &bytes)
{
    nng_msg *message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0)
        return nullptr;
    nng_msg_append(message, bytes.data(), bytes.size());
    return message;
}

std::string bodyOf(nng_msg *message)
{
    return {static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message)};
}

std::string urlOf(const SocketAddress &address)
{
    return "tcp://" + address.toString();
}

struct Traffic
{
    std::atomic<std::uint64_t> m_bytesSent = 0;
    std::atomic<std::uint64_t> m_bytesReceived = 0;
    std::atomic<std::uint64_t> m_messagesSent = 0;
    std::atomic<std::uint64_t> m_messagesReceived = 0;
    std::atomic<std::uint64_t> m_callsFailed = 0;

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

// A connection to one peer, shared by all calls to it.
struct Peer
{
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    std::atomic<std::size_t> m_calls = 0;
    std::atomic<bool> m_broken = false;

    ~Peer() { nng_close(m_socket); }
};

// Counts open calls, so that close() can wait for the last one.
struct OpenCalls
{
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::size_t m_count = 0;

    void add()
    {
        const std::lock_guard lock(m_mutex);
        ++m_count;
    }
    void remove()
    {
        const std::lock_guard lock(m_mutex);
        --m_count;
        m_ended.notify_all();
    }
    void waitForNone()
    {
        std::unique_lock lock(m_mutex);
        m_ended.wait(lock, [this] { return m_count == 0; });
    }
};

// One message on its way and its answer.
struct Call
{
    std::shared_ptr<Peer> m_peer;
    nng_ctx m_context = NNG_CTX_INITIALIZER;
    nng_aio *m_aio = nullptr;
    TimePoint m_deadline;
    bool m_sent = false;
    ControlCompletion m_completion;
    Traffic *m_traffic = nullptr;
    OpenCalls *m_open = nullptr;

    void step();
    void receive();
    void end(std::optional<std::string> answer);
};

void Call::step()
{
    if (nng_aio_result(m_aio) != 0) {
        if (!m_sent) {
            if (nng_msg *unsent = nng_aio_get_msg(m_aio))
                nng_msg_free(unsent);
        }
        end(std::nullopt);
        return;
    }
    if (!m_sent) {
        m_sent = true;
        receive();
        return;
    }
    nng_msg *message = nng_aio_get_msg(m_aio);
    std::string body = bodyOf(message);
    nng_msg_free(message);
    m_traffic->countReceived(body.size());
    const bool known = !body.empty() && body.front() == 1;
    end(known ? std::optional(body.substr(1)) : std::nullopt);
}

void Call::receive()
{
    const auto left = millisecondsUntil(m_deadline, Clock::now());
    nng_aio_set_timeout(m_aio, static_cast<nng_duration>(left + 1));
    nng_ctx_recv(m_context, m_aio);
}

// The completion runs before the call counts as closed, so that close() waits for it.
void Call::end(std::optional<std::string> answer)
{
    if (!answer) {
        ++m_traffic->m_callsFailed;
        m_peer->m_broken = true;
    }
    m_completion(std::move(answer));
    nng_ctx_close(m_context);
    nng_aio_reap(m_aio);
    // The link keeps the connection until no call uses it, so it is never closed here.
    Peer *peer = m_peer.get();
    m_peer.reset();
    --peer->m_calls;
    OpenCalls *open = m_open;
    delete this;
    open->remove();
}

// Answers one message at a time: receives, answers, receives again.
struct Worker
{
    nng_ctx m_context = NNG_CTX_INITIALIZER;
    nng_aio *m_aio = nullptr;
    bool m_sending = false;
    const ControlAnswerer *m_answerer = nullptr;
    Traffic *m_traffic = nullptr;

    void step();
    void receive();
    std::string answer(const std::string &body) const;
};

void Worker::receive()
{
    m_sending = false;
    nng_ctx_recv(m_context, m_aio);
}

std::string Worker::answer(const std::string &body) const
{
    MessageReader reader(body);
    const std::uint64_t type = reader.number();
    const std::string payload = reader.text();
    auto reply = reader.complete() ? (*m_answerer)(type, payload) : std::nullopt;
    return reply ? '\1' + *reply : std::string(1, '\0');
}

void Worker::step()
{
    const int result = nng_aio_result(m_aio);
    if (m_sending && result != 0)
        nng_msg_free(nng_aio_get_msg(m_aio));
    if (result == NNG_ECLOSED || result == NNG_ECANCELED)
        return;
    if (m_sending || result != 0) {
        receive();
        return;
    }
    nng_msg *message = nng_aio_get_msg(m_aio);
    const std::string body = bodyOf(message);
    nng_msg_free(message);
    m_traffic->countReceived(body.size());
    const std::string reply = answer(body);
    m_traffic->countSent(reply.size());
    m_sending = true;
    nng_aio_set_msg(m_aio, makeMessage(reply));
    nng_ctx_send(m_context, m_aio);
}

} // namespace

struct ControlLink::Private
{
    ControlAnswerer m_answerer;
    Traffic m_traffic;
    OpenCalls m_open;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    bool m_listening = false;
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::mutex m_mutex;
    bool m_closed = false;
    std::map<std::string, std::shared_ptr<Peer>> m_peers;

    std::shared_ptr<Peer> peerAt(const SocketAddress &address);
    bool addWorker();
};

std::shared_ptr<Peer> ControlLink::Private::peerAt(const SocketAddress &address)
{
    const std::lock_guard lock(m_mutex);
    if (m_closed)
        return nullptr;
    std::shared_ptr<Peer> &peer = m_peers[urlOf(address)];
    if (!peer) {
        peer = std::make_shared<Peer>();
        if (nng_req0_open(&peer->m_socket) != 0) {
            m_peers.erase(urlOf(address));
            return nullptr;
        }
        nng_socket_set_ms(peer->m_socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
        nng_socket_set_ms(peer->m_socket, NNG_OPT_RECONNMINT, reconnectFirst);
        nng_socket_set_ms(peer->m_socket, NNG_OPT_RECONNMAXT, reconnectLast);
        nng_socket_set_size(peer->m_socket, NNG_OPT_RECVMAXSZ, largestMessage);
        nng_dial(peer->m_socket, urlOf(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    }
    ++peer->m_calls;
    return peer;
}

bool ControlLink::Private::addWorker()
{
    auto worker = std::make_unique<Worker>();
    worker->m_answerer = &m_answerer;
    worker->m_traffic = &m_traffic;
    const auto step = [](void *context) { static_cast<Worker *>(context)->step(); };
    if (nng_ctx_open(&worker->m_context, m_socket) != 0)
        return false;
    if (nng_aio_alloc(&worker->m_aio, step, worker.get()) != 0)
        return false;
    m_workers.push_back(std::move(worker));
    return true;
}

ControlLink::ControlLink(ControlAnswerer answerer)
    : m_d(std::make_unique<Private>())
{
    m_d->m_answerer = std::move(answerer);
}

ControlLink::~ControlLink()
{
    close();
}

bool ControlLink::listen(const SocketAddress &address, Failure &failure)
{
    failure = {ErrorKind::Internal, "can't listen at " + address.toString()};
    if (nng_rep0_open(&m_d->m_socket) != 0)
        return false;
    m_d->m_listening = true;
    nng_socket_set_size(m_d->m_socket, NNG_OPT_RECVMAXSZ, largestMessage);
    for (std::size_t index = 0; index < workerCount; ++index) {
        if (!m_d->addWorker())
            return false;
    }
    const int result = nng_listen(m_d->m_socket, urlOf(address).c_str(), nullptr, 0);
    if (result != 0) {
        failure.m_reason += std::string(": ") + nng_strerror(result);
        return false;
    }
    for (const auto &worker : m_d->m_workers)
        worker->receive();
    return true;
}

void ControlLink::send(const SocketAddress &peer, std::uint64_t type, const std::string &payload,
                       TimePoint deadline, ControlCompletion completion)
{
    std::shared_ptr<Peer> connection = m_d->peerAt(peer);
    if (!connection) {
        completion(std::nullopt);
        return;
    }
    auto *call = new Call;
    call->m_peer = std::move(connection);
    call->m_deadline = deadline;
    call->m_completion = std::move(completion);
    call->m_traffic = &m_d->m_traffic;
    call->m_open = &m_d->m_open;
    m_d->m_open.add();
    const auto step = [](void *context) { static_cast<Call *>(context)->step(); };
    nng_aio_alloc(&call->m_aio, step, call);
    if (nng_ctx_open(&call->m_context, call->m_peer->m_socket) != 0) {
        call->end(std::nullopt);
        return;
    }
    MessageWriter writer;
    const std::string bytes = writer.number(type).text(payload).take();
    m_d->m_traffic.countSent(bytes.size());
    const auto left = millisecondsUntil(deadline, Clock::now());
    nng_aio_set_timeout(call->m_aio, static_cast<nng_duration>(left + 1));
    nng_aio_set_msg(call->m_aio, makeMessage(bytes));
    nng_ctx_send(call->m_context, call->m_aio);
}

void ControlLink::dropBroken()
{
    std::vector<std::shared_ptr<Peer>> dropped;
    const std::lock_guard lock(m_d->m_mutex);
    for (auto peer = m_d->m_peers.begin(); peer != m_d->m_peers.end();) {
        if (peer->second->m_broken && peer->second->m_calls == 0) {
            dropped.push_back(std::move(peer->second));
            peer = m_d->m_peers.erase(peer);
        } else {
            ++peer;
        }
    }
}

void ControlLink::close()
{
    std::map<std::string, std::shared_ptr<Peer>> peers;
    {
        const std::lock_guard lock(m_d->m_mutex);
        if (m_d->m_closed)
            return;
        m_d->m_closed = true;
        peers.swap(m_d->m_peers);
    }
    for (const auto &[url, peer] : peers)
        nng_close(peer->m_socket);
    m_d->m_open.waitForNone();
    if (m_d->m_listening)
        nng_close(m_d->m_socket);
    for (const auto &worker : m_d->m_workers) {
        nng_aio_stop(worker->m_aio);
        nng_aio_free(worker->m_aio);
    }
    m_d->m_workers.clear();
}

MembershipCounters ControlLink::counters() const
{
    MembershipCounters counters;
    counters.m_bytesSent = m_d->m_traffic.m_bytesSent;
    counters.m_bytesReceived = m_d->m_traffic.m_bytesReceived;
    counters.m_messagesSent = m_d->m_traffic.m_messagesSent;
    counters.m_messagesReceived = m_d->m_traffic.m_messagesReceived;
    counters.m_callsFailed = m_d->m_traffic.m_callsFailed;
    return counters;
}

} // namespace burdockhead
