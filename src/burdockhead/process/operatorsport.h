#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/http/httpserver.h>

#include <functional>
#include <memory>
#include <string>

namespace burdockhead {

class EventRing;
class Metrics;

// What the operators' port of any process needs from it.
struct OperatorsPortParts
{
    Metrics &m_metrics;
    EventRing &m_events;
    std::function<bool()> m_isReady;       // Takes new work now.
    std::function<void()> m_updateMetrics; // Called before metrics are printed.
    HttpHandler m_otherPaths;              // Gets what the port itself doesn't serve.
};

// The HTTP port for operators: /health, /ready, /metrics and /timeline, and whatever paths
// the process adds. It is never the callers' port.
class OperatorsPort
{
public:
    OperatorsPort(const SocketAddress &listen, OperatorsPortParts parts);
    ~OperatorsPort();

    // Opens the port; false when it is taken.
    bool start(std::string &error);

private:
    void handle(HttpRequest request, const std::shared_ptr<HttpResponder> &responder);
    void answerTimeline(const HttpRequest &request, HttpResponder &responder);

    OperatorsPortParts m_parts;
    std::unique_ptr<HttpServer> m_server;
};

// Answers that there is nothing under the request's path.
void respondUnknownPath(const HttpRequest &request, HttpResponder &responder);

} // namespace burdockhead
