// Stand-in for a plain service; recordingservice.h documents its protocol.

#include "recordingservice.h"
#include <burdockhead/http/httpserver.h>

#include <absl/flags/flag.h>

#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:9201", "address to serve on");
ABSL_FLAG(std::uint64_t, boot_id, 1, "the first boot id");
ABSL_FLAG(std::uint64_t, carry_cold, 1, "calls that it carries while cold");
ABSL_FLAG(std::uint64_t, carry_warm, 8, "calls that it carries while warm");
ABSL_FLAG(bool, cold, false, "start cold");

int main(int argc, char **argv)
{
    using namespace burdockhead;
    blockTermination();
    parseStandinFlags(argc, argv);
    const auto address = SocketAddress::parse(absl::GetFlag(FLAGS_listen));
    if (!address) {
        std::cerr << "--listen: not HOST:PORT\n";
        return 2;
    }
    RecordingService service(address->m_port, absl::GetFlag(FLAGS_boot_id),
                             absl::GetFlag(FLAGS_carry_cold), absl::GetFlag(FLAGS_carry_warm),
                             absl::GetFlag(FLAGS_cold));
    HttpServerOptions options;
    options.m_listen = *address;
    options.m_threads = 32; // A slow call blocks its thread.
    HttpServer server(options, [&service](const HttpRequest &request, const auto &responder) {
        service.handle(request, responder);
    });
    if (!server.start()) {
        std::cerr << options.m_listen.toString() << ": " << server.lastError() << '\n';
        return 1;
    }
    awaitTermination();
    server.stop();
    return 0;
}
