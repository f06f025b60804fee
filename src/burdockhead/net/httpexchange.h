#pragma once

#include <burdockhead/net/clientcharge.h>
#include <burdockhead/net/httphead.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace burdockhead {

class HttpServerConnection;

// One request on a client's connection and its answer. Safe to keep after the client has
// left; what is written then goes nowhere.
class HttpExchange
{
public:
    // The charge is for the memory of head and body.
    HttpExchange(std::weak_ptr<HttpServerConnection> connection, HttpHead head, std::string body,
                 ClientCharge charge);
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const HttpHead &head() const { return m_head; }
    const std::string &body() const { return m_body; }

    // Returns the body and keeps none.
    std::string takeBody() { return std::move(m_body); }

    // Called once if the client leaves before the answer is complete.
    void onClientGone(std::function<void()> action) { m_clientGone = std::move(action); }

    // Sends a whole answer. Content-Length and Connection are added.
    void answer(int status, HttpHeaders headers, std::string_view body);

    // Starts an answer whose length isn't known, sends parts of it and completes it.
    void startAnswer(int status, HttpHeaders headers);
    void sendPart(std::string_view bytes);
    void finishAnswer();

    // Bytes of the answer that wait for the client to read.
    std::size_t queuedBytes() const;

    // Called each time that some of it has been sent.
    void onSent(std::function<void()> action) { m_sent = std::move(action); }

    // Called each time that nothing waits any more.
    void onDrained(std::function<void()> action) { m_drained = std::move(action); }

    // Closes the connection, so that the answer can't be taken for a complete one.
    void breakOff();

    // Whether the answer's head has been written.
    bool hasStarted() const { return m_hasStarted; }

private:
    friend class HttpServerConnection;

    bool hasResponseBody() const;

    const std::weak_ptr<HttpServerConnection> m_connection;
    const HttpHead m_head;
    std::string m_body;
    const ClientCharge m_charge;
    std::function<void()> m_clientGone;
    std::function<void()> m_sent;
    std::function<void()> m_drained;
    bool m_hasStarted = false;
    bool m_isOver = false;
};

using HttpExchangeHandler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

} // namespace burdockhead
