#include <burdockhead/membership/controltransport.h>

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <freeport.h>
#include <poll.h>
#include <thread>
#include <unistd.h>

using namespace burdockhead;

namespace {

bool isReadable(int descriptor, int milliseconds)
{
    pollfd polled = {descriptor, POLLIN, 0};
    return poll(&polled, 1, milliseconds) == 1;
}

// Performs nng's handshake and reads one message, without sending a reply.
bool receiveMessage(int connection)
{
    const std::array<char, 8> handshake = {0, 'S', 'P', 0, 0, 0x31, 0, 0};
    if (write(connection, handshake.data(), handshake.size()) != 8)
        return false;
    std::array<char, 256> bytes{};
    std::size_t received = 0;
    while (received <= handshake.size() && isReadable(connection, 1000)) {
        const ssize_t bytesRead = read(connection, bytes.data(), bytes.size());
        if (bytesRead <= 0)
            break;
        received += static_cast<std::size_t>(bytesRead);
    }
    return received > handshake.size();
}

int listenAt(const SocketAddress &address)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in socketAddress = {};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(address.m_port);
    socketAddress.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int reuse = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    BOOST_REQUIRE(
        bind(listener, reinterpret_cast<sockaddr *>(&socketAddress), sizeof(socketAddress)) == 0);
    BOOST_REQUIRE(listen(listener, 4) == 0);
    return listener;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlTransports)

// With its default resend time nng would send the message again over the next connection.
BOOST_AUTO_TEST_CASE(a_message_whose_connection_breaks_is_not_sent_again)
{
    const SocketAddress address = freeLoopbackAddress();
    const int listener = listenAt(address);
    ControlTransport transport([](std::uint64_t, const std::string &) { return std::nullopt; });
    std::atomic<int> completionCount = 0;
    std::atomic<bool> hasReply = false;
    transport.send(address, 20, "order", Clock::now() + Seconds(4),
                   [&](const std::optional<std::string> &reply) {
                       hasReply = reply.has_value();
                       ++completionCount;
                   });
    int messageCount = 0;
    int connectionCount = 0;
    while (isReadable(listener, 2500)) {
        const int connection = accept(listener, nullptr, nullptr);
        ++connectionCount;
        messageCount += receiveMessage(connection) ? 1 : 0;
        close(connection);
        if (connectionCount == 3)
            break;
    }
    close(listener);
    transport.close();
    BOOST_TEST(messageCount == 1);
    BOOST_TEST(connectionCount > 1);
    BOOST_TEST(completionCount == 1);
    BOOST_TEST(!hasReply);
}

BOOST_AUTO_TEST_SUITE_END()
