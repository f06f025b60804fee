#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/http/httpserver.h>

#include <functional>
#include <memory>
#include <string>

namespace burdockhead {

class EventRing;
class Metrics;

// What a process provides to its operators' port.
struct OperatorsPortDependencies
{
    Metrics &m_metrics;
    EventRing &m_events;
    std::function<bool()> m_isReady;       // Whether the process accepts new requests.
    std::function<void()> m_updateMetrics; // Called before each export of metrics.
    HttpHandler m_fallbackHandler;         // Handles the paths that the port itself doesn't serve.
};

// The HTTP server for operators: /health, /ready, /metrics, /timeline and the paths that
// the process adds. Always separate from the callers' port.
class OperatorsPort
{
public:
    OperatorsPort(const SocketAddress &listen, const ClientBudgetLimits &budget,
                  OperatorsPortDependencies dependencies);
    ~OperatorsPort();

    // Starts listening; returns false with an error if the port is in use.
    bool start(std::string &error);

private:
    void handle(HttpRequest request, const std::shared_ptr<HttpResponder> &responder);
    void respondTimeline(const HttpRequest &request, HttpResponder &responder);

    OperatorsPortDependencies m_dependencies;
    std::unique_ptr<HttpServer> m_server;
};

// Responds that the request's path doesn't exist.
void respondUnknownPath(const HttpRequest &request, HttpResponder &responder);

} // namespace burdockhead
