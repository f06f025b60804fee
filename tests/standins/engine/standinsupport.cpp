#include "standinsupport.h"

#include <absl/flags/parse.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <csignal>
#include <pthread.h>
#include <sstream>
#include <thread>

namespace burdockhead {

namespace {

sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

bool isAcceptedOn(int descriptor, std::uint16_t port)
{
    sockaddr_in local = {};
    socklen_t length = sizeof(local);
    if (getsockname(descriptor, reinterpret_cast<sockaddr *>(&local), &length) != 0)
        return false;
    sockaddr_in peer = {};
    length = sizeof(peer);
    return local.sin_family == AF_INET && ntohs(local.sin_port) == port
           && getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &length) == 0;
}

} // namespace

void parseStandinFlags(int argc, char **argv)
{
    for (int index = 1; index < argc; ++index) {
        char *const begin = argv[index];
        char *const end = begin + std::string_view(begin).size();
        if (!std::string_view(begin).starts_with("--"))
            continue;
        std::replace(begin + 2, std::find(begin, end, '='), '-', '_');
    }
    absl::ParseCommandLine(argc, argv);
}

std::optional<std::vector<SocketAddress>> parseAddresses(const std::string &list)
{
    std::vector<SocketAddress> addresses;
    std::istringstream stream(list);
    for (std::string item; std::getline(stream, item, ',');) {
        const auto address = SocketAddress::parse(item);
        if (!address)
            return std::nullopt;
        addresses.push_back(*address);
    }
    if (addresses.empty())
        return std::nullopt;
    return addresses;
}

void blockTermination()
{
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(performance-no-int-to-ptr)
}

void awaitTermination()
{
    const sigset_t signals = terminationSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

void dropConnections(std::uint16_t port)
{
    rlimit limit = {};
    getrlimit(RLIMIT_NOFILE, &limit);
    const int end = static_cast<int>(std::min<rlim_t>(limit.rlim_cur, 4096));
    for (int descriptor = 3; descriptor < end; ++descriptor) {
        if (isAcceptedOn(descriptor, port))
            shutdown(descriptor, SHUT_RDWR);
    }
}

void sendGarbage(HttpResponder &responder)
{
    // The value ends the head early; what follows is no valid chunk.
    responder.begin(200, {{"X-Garbage", "1\r\nTransfer-Encoding: chunked\r\n\r\nnot-a-chunk"}});
    responder.finish();
}

void sendJson(HttpResponder &responder, int status, std::uint64_t bootId, const Json &body)
{
    HttpResponse response;
    response.m_status = status;
    response.m_headers = {{"Content-Type", "application/json"},
                          {"X-Boot-Id", std::to_string(bootId)}};
    response.m_body = body.dump();
    responder.respond(std::move(response));
}

std::optional<Json> readJson(const HttpRequest &request)
{
    if (request.m_body.empty())
        return Json::object();
    Json body = Json::parse(request.m_body, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    return body;
}

std::string hashText(std::uint64_t hash)
{
    std::ostringstream stream;
    stream << std::hex << hash;
    return stream.str();
}

} // namespace burdockhead
