#include "gatewayfixture.h"

#include "freeport.h"
#include <burdockhead/http/httprequest.h>
#include <burdockhead/net/httpwriting.h>

#include <csignal>
#include <fstream>
#include <iterator>

namespace burdockhead::test {

namespace {

constexpr Milliseconds connectTimeout{500};

} // namespace

ClientCall::ClientCall(HttpClientPool &pool, const SocketAddress &gateway,
                       const std::string &method, const std::string &path,
                       const HttpHeaders &headers, const std::string &body)
    : m_requestId(findHeader(headers, "X-Request-Id").value_or(""))
{
    HttpHeaders allHeaders = headers;
    allHeaders.push_back({"Content-Length", std::to_string(body.size())});
    m_call = pool.call(gateway, requestHead(method, path, allHeaders) + body,
                       {Clock::now() + connectTimeout, Milliseconds(0), false}, *this);
}

std::string ClientCall::header(const char *name) const
{
    return findHeader(m_head.m_headers, name).value_or("");
}

GatewayFixture::GatewayFixture()
    : m_clients(freeLoopbackAddress())
    , m_peers(freeLoopbackAddress())
    , m_metrics(freeLoopbackAddress())
    , m_folder(std::filesystem::temp_directory_path()
               / ("gateway-test-" + std::to_string(m_clients.m_port)))
    , m_readiness(freeLoopbackAddress())
    , m_directory(freeLoopbackAddress())
{
    std::filesystem::create_directories(m_folder);
    for (const std::string number : {"1", "2"}) {
        m_llm.push_back(std::make_unique<EndpointStandIn>(m_loop, "llm-" + number, "llm"));
        m_app.push_back(std::make_unique<EndpointStandIn>(m_loop, "app-" + number, "app"));
    }
}

GatewayFixture::~GatewayFixture()
{
    m_gateway.reset();
    std::filesystem::remove_all(m_folder);
}

std::string GatewayFixture::configuration(int version, const std::string &credential)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
        {"name":"s","host":"h.example","pathPrefix":"/stream/","routeType":"streaming",
         "timeoutMs":3000,"goalMs":500,"priority":1,"service":"llm","maxAttempts":2,
         "streamResume":true,"gapAimMs":120},
        {"name":"once","host":"h.example","pathPrefix":"/stream/once/","routeType":"streaming",
         "timeoutMs":3000,"goalMs":500,"priority":1,"service":"llm","maxAttempts":1},
        {"name":"g","host":"h.example","pathPrefix":"/safe/","routeType":"safe",
         "timeoutMs":2000,"goalMs":100,"priority":2,"service":"app","maxAttempts":2},
        {"name":"u","host":"h.example","pathPrefix":"/unsafe/","routeType":"unsafe",
         "timeoutMs":2000,"goalMs":100,"priority":2,"service":"app","maxAttempts":1},
        {"name":"l","host":"h.example","pathPrefix":"/lone/","routeType":"unsafe",
         "timeoutMs":2000,"goalMs":100,"priority":2,"service":"lone","maxAttempts":3}],
        "services":[{"name":"llm","healthPath":"/health","maxConnections":40,"coldPerS":1000.0,
                     "engine":{"slots":4}},
                    {"name":"app","healthPath":"/health","maxConnections":40,"coldPerS":0.0},
                    {"name":"lone","healthPath":"/health","maxConnections":40,"coldPerS":0.0}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
                  "idleTimeoutMs":15000},
        "tenants":[{"name":"w","apiKeys":[")"
           + credential + R"("],"priority":1}]})";
}

std::string GatewayFixture::writeSettings(const std::string &name, const SocketAddress &clients,
                                          const SocketAddress &peers,
                                          const SocketAddress &readiness) const
{
    const bool isFirst = peers == m_peers;
    std::string settings = m_folder / (name + ".ini");
    std::ofstream(settings) << "[process]\nname = " << name
                            << "\ndata_centre = a\n[listen]\nclients = " << clients.toString()
                            << "\nreadiness = " << readiness.toString() << "\ndirectory = "
                            << (isFirst ? m_directory : freeLoopbackAddress()).toString()
                            << "\npeers = " << peers.toString() << "\nmetrics = "
                            << (isFirst ? m_metrics : freeLoopbackAddress()).toString()
                            << "\n[store]\naddress = " << m_storeProxy.address().toString()
                            << "\n[seeds]\nfirst_start = true"
                            << (isFirst ? "" : "\npeers = " + m_peers.toString())
                            << "\n[bounds]\nretry_burst = " << m_retryBurst
                            << "\nstop_grace_s = 5\n";
    return settings;
}

std::unique_ptr<ChildProcess> GatewayFixture::startProcess(const std::string &name,
                                                           const std::string &settings) const
{
    return std::make_unique<ChildProcess>(
        std::vector<std::string>{std::string(BURDOCKHEAD_BUILD_FOLDER) + "/burdockhead", "gateway",
                                 "--settings=" + settings},
        m_folder / (name + ".log"), m_maxDescriptors);
}

void GatewayFixture::startGateway()
{
    m_gateway = startProcess("gateway", writeSettings("g1", m_clients, m_peers, m_readiness));
}

void GatewayFixture::reload()
{
    writeSettings("g1", m_clients, m_peers, m_readiness);
    m_gateway->signal(SIGHUP);
    const auto hasReloaded = [&] {
        std::ifstream log(m_folder / "gateway.log");
        const std::string text{std::istreambuf_iterator<char>(log), {}};
        return text.find("event=reloaded") != std::string::npos;
    };
    for (int attempt = 0; attempt < 200 && !hasReloaded(); ++attempt)
        waitFor(Milliseconds(20));
    BOOST_REQUIRE(hasReloaded());
}

GatewayFixture::FurtherGateway GatewayFixture::startFurtherGateway(const std::string &name)
{
    FurtherGateway gateway;
    gateway.m_clients = freeLoopbackAddress();
    const SocketAddress readiness = freeLoopbackAddress();
    gateway.m_process = startProcess(
        name, writeSettings(name, gateway.m_clients, freeLoopbackAddress(), readiness));
    const auto isReady = [&] { return query(readiness, "/-/readiness")->status() == 200; };
    for (int attempt = 0; attempt < 500 && !isReady(); ++attempt)
        waitFor(Milliseconds(5));
    BOOST_REQUIRE(isReady());
    return gateway;
}

void GatewayFixture::start()
{
    for (const auto &endpoint : m_llm)
        m_store.put("servers", endpoint->id(), endpoint->entry());
    for (const auto &endpoint : m_app)
        m_store.put("servers", endpoint->id(), endpoint->entry());
    m_store.put("config", "main", configuration(3));
    startGateway();
    for (int attempt = 0; attempt < 200 && readiness() != 200; ++attempt)
        waitFor(Milliseconds(20));
    BOOST_REQUIRE(readiness() == 200);
}

std::unique_ptr<ClientCall> GatewayFixture::query(const SocketAddress &address,
                                                  const std::string &target)
{
    auto call = std::make_unique<ClientCall>(m_pool, address, "GET", target,
                                             HttpHeaders{{"Host", address.toString()}}, "");
    waitUntil([&] { return call->hasEnded(); });
    return call;
}

int GatewayFixture::readiness()
{
    return query(m_readiness, "/-/readiness")->status();
}

std::string GatewayFixture::listedAddresses()
{
    return query(m_directory, "/-/resolution?name=h.example&zone=a")->body();
}

std::unique_ptr<ClientCall> GatewayFixture::call(const std::string &method, const std::string &path,
                                                 const std::string &credential,
                                                 Milliseconds remainingTime)
{
    return call(m_clients, method, path,
                HttpHeaders{{"X-Deadline-Ms", std::to_string(remainingTime.count())},
                            {"Authorization", "Token " + credential}});
}

std::unique_ptr<ClientCall> GatewayFixture::callWithPrompt(const std::string &path,
                                                           const std::string &parts)
{
    return call(m_clients, "POST", path,
                HttpHeaders{{"X-Deadline-Ms", "3000"},
                            {"Authorization", "Token key"},
                            {"X-Prompt-Prefix", parts}});
}

std::unique_ptr<ClientCall> GatewayFixture::callAt(const SocketAddress &gateway,
                                                   const std::string &method,
                                                   const std::string &path,
                                                   HttpHeaders furtherHeaders)
{
    furtherHeaders.push_back({"X-Deadline-Ms", "3000"});
    furtherHeaders.push_back({"Authorization", "Token key"});
    return call(gateway, method, path, furtherHeaders);
}

std::unique_ptr<ClientCall> GatewayFixture::call(const SocketAddress &gateway,
                                                 const std::string &method, const std::string &path,
                                                 const HttpHeaders &furtherHeaders)
{
    HttpHeaders headers = {{"Host", "h.example"},
                           {"X-Request-Id", "r" + std::to_string(++m_lastRequest)},
                           {"X-Model", "m"},
                           {"X-Tenant", "forged"}};
    headers.insert(headers.end(), furtherHeaders.begin(), furtherHeaders.end());
    return std::make_unique<ClientCall>(m_pool, gateway, method, path, headers,
                                        method == "POST" ? "body" : "");
}

std::unique_ptr<ClientCall> GatewayFixture::request(const std::string &method,
                                                    const std::string &path,
                                                    const std::string &credential,
                                                    Milliseconds remainingTime)
{
    auto pending = call(method, path, credential, remainingTime);
    waitUntil([&] { return pending->hasEnded(); });
    return pending;
}

void GatewayFixture::waitFor(Milliseconds span)
{
    const TimePoint end = Clock::now() + span;
    waitUntil([&] { return Clock::now() >= end; });
}

std::size_t GatewayFixture::runCount(const std::string &service) const
{
    std::size_t ran = 0;
    for (const auto &endpoint : service == "llm" ? m_llm : m_app)
        ran += endpoint->ran().size();
    return ran;
}

} // namespace burdockhead::test
