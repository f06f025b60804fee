#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/http/httprequest.h>
#include <burdockhead/http/httpresponder.h>
#include <burdockhead/net/clientbudget.h>

#include <functional>
#include <memory>

namespace burdockhead {

// Called on a server thread for each request. It may answer later, from any thread.
using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

// What bounds a server.
struct HttpServerOptions
{
    SocketAddress m_listen;
    unsigned m_threads = 2; // That run the handler.
    std::size_t m_maxBodyBytes = 1 << 20;
    std::size_t m_maxHeaderCount = 64;
    std::size_t m_maxHeaderBytes = 65536;
    std::size_t m_maxConnections = 1000;
    ClientBudgetLimits m_budget; // Its connections are bounded by the value above too.
    Milliseconds m_idleLimit = std::chrono::minutes(5);   // Between requests, and for one to come.
    Milliseconds m_handleLimit = std::chrono::hours(1);   // From request to end of the answer.
    Milliseconds m_writeLimit = std::chrono::seconds(30); // For one write to a slow reader.
};

// An HTTP/1.1 server with its own threads. What can't be taken is answered with an error of the
// table, and its connection is closed.
class HttpServer
{
public:
    HttpServer(const HttpServerOptions &options, HttpHandler handler);
    // Stops the server; open responses are dropped. Their responders may live on.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Opens the port. False when it is taken; lastError() then says why.
    bool start();

    // Closes the port and all connections, and joins the threads.
    void stop();

    const std::string &lastError() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d; // Kept by open responders too.
};

} // namespace burdockhead
