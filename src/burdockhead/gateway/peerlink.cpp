#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/gateway/loadmessage.h>
#include <burdockhead/gateway/peerlink.h>
#include <burdockhead/observe/log.h>
#include <burdockhead/process/processstart.h>
#include <burdockhead/ratelimit/ratemessage.h>

#include <asio/buffer.hpp>
#include <asio/ip/udp.hpp>

#include <algorithm>
#include <array>

namespace burdockhead {

namespace {

constexpr Milliseconds heartbeatInterval{400};
constexpr std::size_t maxDatagramBytes = 65536;
constexpr std::size_t maxRecords = 128;
// Gateways that are told of a crash at once; the others hear of it by the heartbeats of these.
constexpr std::size_t maxDirectTargets = 32;
// Statements in a message, so that it fits into one packet.
constexpr std::size_t maxStatements = 24;
constexpr std::uint64_t messageVersion = 2;

SocketAddress readAddress(MessageReader &reader)
{
    const auto address = SocketAddress::parse(reader.text());
    if (!address)
        reader.fail();
    return address.value_or(SocketAddress());
}

} // namespace

std::string writePeerMessage(const std::vector<PeerRecord> &records)
{
    MessageWriter writer;
    writer.number(messageVersion).number(records.size());
    for (const PeerRecord &record : records) {
        writer.text(record.m_name.text())
            .number(record.m_incarnation)
            .number(record.m_heartbeat)
            .number(static_cast<std::uint64_t>(record.m_state))
            .text(record.m_clientAddress.toString())
            .text(record.m_gossipAddress.toString());
        for (const std::uint64_t revision : record.m_newestRevisions)
            writer.number(revision);
    }
    return writer.take();
}

std::optional<std::vector<PeerRecord>> readPeerMessage(std::string_view datagram)
{
    MessageReader reader(datagram);
    if (reader.number() != messageVersion)
        return std::nullopt;
    std::vector<PeerRecord> records(reader.listLength(maxRecords));
    for (PeerRecord &record : records) {
        record.m_name = ProcessName(reader.text());
        record.m_incarnation = reader.number();
        record.m_heartbeat = reader.number();
        const std::uint64_t state = reader.number();
        if (state > static_cast<std::uint64_t>(PeerState::Leaving))
            reader.fail();
        record.m_state = static_cast<PeerState>(state);
        record.m_clientAddress = readAddress(reader);
        record.m_gossipAddress = readAddress(reader);
        for (std::uint64_t &revision : record.m_newestRevisions)
            revision = reader.number();
    }
    if (!reader.complete())
        return std::nullopt;
    return records;
}

struct PeerLink::Private
{
    Private(EventLoop &loop, PeerTable &table, LoadTable &loads, PromptGuard &promptGuard,
            EndpointRates &rates)
        : m_loop(loop)
        , m_table(table)
        , m_loads(loads)
        , m_promptGuard(promptGuard)
        , m_rates(rates)
        , m_socket(loop.context())
    {}

    void receive();
    void receive(const std::vector<RateStatement> &statements);
    void sendHeartbeat();
    std::vector<SocketAddress> directTargets();
    void sendRates(const std::vector<SocketAddress> &targets);
    void send(const std::vector<SocketAddress> &targets);
    void send(const QuarantineMessage &message, const std::vector<SocketAddress> &targets);
    void send(const std::string &message, const std::vector<SocketAddress> &targets);

    EventLoop &m_loop;
    PeerTable &m_table;
    LoadTable &m_loads;
    PromptGuard &m_promptGuard;
    EndpointRates &m_rates;
    Random m_random{systemSeed()};
    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_sender;
    std::array<char, maxDatagramBytes> m_buffer{};
};

void PeerLink::Private::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_sender, [this](const asio::error_code &error, std::size_t count) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error) {
                const std::string_view datagram(m_buffer.data(), count);
                if (const auto records = readPeerMessage(datagram))
                    m_table.receive(*records, Clock::now());
                else if (const auto reports = readLoadMessage(datagram))
                    m_loads.receive(*reports, Clock::now());
                else if (const auto message = readQuarantineMessage(datagram, Clock::now()))
                    m_promptGuard.receive(*message, Clock::now());
                else if (const auto statements = readRateMessage(datagram, Clock::now()))
                    receive(*statements);
            }
            receive();
        });
}

void PeerLink::Private::receive(const std::vector<RateStatement> &statements)
{
    for (const RateStatement &statement : statements)
        m_rates.record(statement, RateSource::Gateway);
}

// Sends a few statements at random, so that all are sent within some heartbeats.
void PeerLink::Private::sendRates(const std::vector<SocketAddress> &targets)
{
    std::vector<RateStatement> statements = m_rates.statements();
    if (statements.empty())
        return;
    std::shuffle(statements.begin(), statements.end(), m_random);
    statements.resize(std::min(statements.size(), maxStatements));
    send(writeRateMessage(statements, Clock::now()), targets);
}

void PeerLink::Private::send(const std::vector<SocketAddress> &targets)
{
    const TimePoint now = Clock::now();
    send(writePeerMessage(m_table.recordsToSend(now)), targets);
    send(writeLoadMessage(m_loads.reportsToSend(now)), targets);
    send(m_promptGuard.messageToSend(now), targets);
    sendRates(targets);
}

void PeerLink::Private::send(const QuarantineMessage &message,
                             const std::vector<SocketAddress> &targets)
{
    if (!message.isEmpty())
        send(writeQuarantineMessage(message, Clock::now()), targets);
}

void PeerLink::Private::send(const std::string &message, const std::vector<SocketAddress> &targets)
{
    for (const SocketAddress &target : targets) {
        asio::error_code error;
        const auto ip = asio::ip::make_address(target.m_host, error);
        // A datagram that can't be sent counts as lost: a later heartbeat makes up for it.
        if (!error)
            m_socket.send_to(asio::buffer(message), {ip, target.m_port}, 0, error);
    }
}

std::vector<SocketAddress> PeerLink::Private::directTargets()
{
    std::vector<SocketAddress> targets = m_table.livePeers(Clock::now());
    std::shuffle(targets.begin(), targets.end(), m_random);
    targets.resize(std::min(targets.size(), maxDirectTargets));
    return targets;
}

void PeerLink::Private::sendHeartbeat()
{
    m_loads.setIncarnation(m_table.local().m_incarnation);
    send(m_table.beginHeartbeat(Clock::now()));
    for (const PeerReminder &reminder : m_table.takeReminders())
        send(writePeerMessage({reminder.m_record}), {reminder.m_target});
    m_loop.callAt(Clock::now() + heartbeatInterval, [this] { sendHeartbeat(); });
}

PeerLink::PeerLink(EventLoop &loop, PeerTable &table, LoadTable &loads, PromptGuard &promptGuard,
                   EndpointRates &rates)
    : m_d(std::make_unique<Private>(loop, table, loads, promptGuard, rates))
{}

PeerLink::~PeerLink() = default;

bool PeerLink::start(const SocketAddress &address, std::string &error)
{
    asio::error_code failure;
    const asio::ip::udp::endpoint endpoint(asio::ip::make_address(address.m_host, failure),
                                           address.m_port);
    if (!failure)
        m_d->m_socket.open(endpoint.protocol(), failure);
    if (!failure)
        m_d->m_socket.bind(endpoint, failure);
    if (!failure)
        m_d->m_socket.non_blocking(true, failure);
    if (failure) {
        error = address.toString() + ": " + failure.message();
        return false;
    }
    m_d->receive();
    m_d->sendHeartbeat();
    return true;
}

void PeerLink::broadcast()
{
    m_d->m_table.beginHeartbeat(Clock::now());
    m_d->send(m_d->m_table.livePeers(Clock::now()));
}

void PeerLink::broadcastQuarantines()
{
    m_d->send(m_d->m_promptGuard.newsToSend(Clock::now()), m_d->directTargets());
}

void PeerLink::broadcastRates()
{
    m_d->sendRates(m_d->directTargets());
}

} // namespace burdockhead
