#pragma once

#include "childprocess.h"
#include "endpointstandin.h"
#include "faultyproxy.h"
#include "loopback.h"
#include "storestandin.h"
#include <burdockhead/net/httpclientpool.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace burdockhead::test {

// A client's request and its response.
class ClientCall : private HttpCallObserver
{
public:
    ClientCall(HttpClientPool &pool, const SocketAddress &gateway, const std::string &method,
               const std::string &path, const HttpHeaders &headers, const std::string &body);

    bool hasEnded() const { return m_end.has_value(); }
    bool isComplete() const { return m_end == CallEnd::Complete; }
    int status() const { return m_head.m_status; }
    std::string header(const char *name) const;
    const std::string &requestId() const { return m_requestId; }
    const std::string &body() const { return m_body; }
    void disconnect() { m_call.reset(); }

private:
    void callHead(const HttpHead &head) override { m_head = head; }
    void callBody(std::string_view bytes) override { m_body.append(bytes); }
    void callEnded(CallEnd end) override { m_end = end; }

    std::string m_requestId;
    HttpHead m_head;
    std::string m_body;
    std::optional<CallEnd> m_end;
    std::unique_ptr<HttpCall> m_call;
};

// Runs a gateway between clients of the test and stand-ins of the store and the endpoints: two of
// the service "llm" for resumable streams below /stream/, two of the service "app" for /safe/ and
// /unsafe/. The service "lone" for /lone/, with three attempts, has none. The credential "key"
// belongs to the workspace "w".
class GatewayFixture
{
public:
    GatewayFixture();
    ~GatewayFixture();
    GatewayFixture(const GatewayFixture &) = delete;
    GatewayFixture &operator=(const GatewayFixture &) = delete;

    // Returns the configuration as JSON; `credential` is the valid one.
    static std::string configuration(int version, const std::string &credential = "key");

    void startGateway();

    // Writes the settings of the first gateway again and waits until it has read them.
    void reload();

    // A further gateway, which knows the first one as a seed.
    struct FurtherGateway
    {
        std::unique_ptr<ChildProcess> m_process;
        SocketAddress m_clients;
    };

    // Starts one and waits until it is ready.
    FurtherGateway startFurtherGateway(const std::string &name);

    // Starts everything and waits until the gateway is ready.
    void start();

    // Query the gateway; a status of 0 means that it didn't respond.
    int readiness();
    std::string listedAddresses();

    std::unique_ptr<ClientCall> call(const std::string &method, const std::string &path,
                                     const std::string &credential = "key",
                                     Milliseconds remainingTime = Milliseconds(3000));

    // Sends a request to that gateway.
    std::unique_ptr<ClientCall> callAt(const SocketAddress &gateway, const std::string &method,
                                       const std::string &path, HttpHeaders furtherHeaders = {});

    // Sends a stream whose prompt has these parts, "ID:TOKENS" separated by commas.
    std::unique_ptr<ClientCall> callWithPrompt(const std::string &path, const std::string &parts);

    // Sends the request and waits for its end.
    std::unique_ptr<ClientCall> request(const std::string &method, const std::string &path,
                                        const std::string &credential = "key",
                                        Milliseconds remainingTime = Milliseconds(3000));

    void waitUntil(const std::function<bool()> &condition) { runUntil(m_loop, condition); }
    void waitFor(Milliseconds span);

    std::size_t runCount(const std::string &service) const;

    EventLoop m_loop;
    StoreStandIn m_store{m_loop};
    FaultyProxy m_storeProxy{m_loop, m_store.address()}; // Gateways reach the store through it.
    std::vector<std::unique_ptr<EndpointStandIn>> m_llm;
    std::vector<std::unique_ptr<EndpointStandIn>> m_app;
    std::unique_ptr<ChildProcess> m_gateway;
    SocketAddress m_clients;
    SocketAddress m_peers;
    SocketAddress m_metrics;
    int m_retryBurst = 160;           // In the settings of gateways.
    std::size_t m_maxDescriptors = 0; // Of gateways; 0 for as many as the test may have.
    std::filesystem::path m_folder;   // For settings and logs; removed at the end.

private:
    std::unique_ptr<ClientCall> call(const SocketAddress &gateway, const std::string &method,
                                     const std::string &path, const HttpHeaders &furtherHeaders);
    std::string writeSettings(const std::string &name, const SocketAddress &clients,
                              const SocketAddress &peers, const SocketAddress &readiness) const;
    std::unique_ptr<ChildProcess> startProcess(const std::string &name,
                                               const std::string &settings) const;
    std::unique_ptr<ClientCall> query(const SocketAddress &address, const std::string &target);

    SocketAddress m_readiness;
    SocketAddress m_directory;
    HttpClientPool m_pool{m_loop};
    int m_lastRequest = 0;
};

} // namespace burdockhead::test
