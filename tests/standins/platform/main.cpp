#include "platformstandin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <cstdio>

ABSL_FLAG(std::string, listen, "127.0.0.1:8200", "IP number and port to answer on");

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto listen = burdockhead::SocketAddress::parse(absl::GetFlag(FLAGS_listen));
    if (!listen) {
        std::fputs("--listen: an IP number and a port are needed\n", stderr);
        return 2;
    }
    // Blocked before any thread starts, so that only sigwait receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    burdockhead::PlatformStandIn platform(*listen);
    if (!platform.start()) {
        std::fputs("cannot open the port\n", stderr);
        return 1;
    }
    std::puts("ready");
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
