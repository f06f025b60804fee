#include <burdockhead/base/erroranswer.h>
#include <burdockhead/http/httpserver.h>
#include <burdockhead/net/httplistener.h>

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace burdockhead {

namespace {

using ExchangePointer = std::shared_ptr<HttpExchange>;

// What a responder knows of its connection, which belongs to the loop's thread.
struct WriteState
{
    std::atomic<bool> m_isGone = false;
    std::atomic<std::size_t> m_posted = 0; // Bytes on the way to the connection.
    std::atomic<std::size_t> m_queued = 0; // Bytes that wait there.
};

// Answers one request. The exchange is used, and goes, on the loop's thread only; a loop that has
// stopped drops what is posted to it.
class ExchangeResponder : public HttpResponder
{
public:
    // The owner holds the loop.
    ExchangeResponder(EventLoop &loop, ExchangePointer exchange, std::shared_ptr<WriteState> state,
                      std::shared_ptr<void> owner)
        : m_owner(std::move(owner))
        , m_loop(loop)
        , m_exchange(std::move(exchange))
        , m_state(std::move(state))
    {}

    ~ExchangeResponder() override
    {
        finishLocked();
        m_loop.post([exchange = std::move(m_exchange)] {});
    }

    void respond(HttpResponse response) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_isOver || m_hasBegun)
            return;
        m_isOver = true;
        post([response = std::move(response)](HttpExchange &exchange) {
            exchange.answer(response.m_status, response.m_headers, response.m_body);
        });
    }

    void begin(int status, std::vector<HttpHeader> headers) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_isOver || m_hasBegun)
            return;
        m_hasBegun = true;
        post([status, headers = std::move(headers)](HttpExchange &exchange) {
            exchange.startAnswer(status, headers);
        });
    }

    bool write(std::string chunk) override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_hasBegun || m_isOver || m_state->m_isGone)
            return false;
        if (chunk.empty())
            return true;
        m_state->m_posted += chunk.size();
        post([state = m_state, chunk = std::move(chunk)](HttpExchange &exchange) {
            exchange.sendPart(chunk);
            state->m_posted -= chunk.size();
            state->m_queued = exchange.queuedBytes();
        });
        return true;
    }

    void finish() override
    {
        const std::lock_guard lock(m_mutex);
        finishLocked();
    }

    bool gone() const override { return m_state->m_isGone; }

    std::size_t unwrittenBytes() const override { return m_state->m_posted + m_state->m_queued; }

private:
    void finishLocked()
    {
        if (m_isOver)
            return;
        m_isOver = true;
        // One that was never answered ends with its connection.
        if (m_hasBegun)
            post([](HttpExchange &exchange) { exchange.finishAnswer(); });
        else
            post([](HttpExchange &exchange) { exchange.breakOff(); });
    }

    template <typename Action>
    void post(Action action)
    {
        m_loop.post([exchange = m_exchange, action = std::move(action)] { action(*exchange); });
    }

    std::shared_ptr<void> m_owner; // Destroyed last.
    EventLoop &m_loop;
    std::mutex m_mutex;
    ExchangePointer m_exchange;
    std::shared_ptr<WriteState> m_state;
    bool m_hasBegun = false;
    bool m_isOver = false;
};

HttpRequest takeRequest(HttpExchange &exchange)
{
    HttpRequest request;
    const HttpHead &head = exchange.head();
    const std::string_view target =
        std::string_view(head.m_target).substr(0, head.m_target.find('#'));
    const std::size_t mark = target.find('?');
    request.m_method = head.m_method;
    request.m_path = std::string(target.substr(0, mark));
    if (mark != std::string_view::npos)
        request.m_query = std::string(target.substr(mark + 1));
    request.m_headers = head.m_headers;
    request.m_body = exchange.takeBody();
    return request;
}

// Returns the error of the table that fits a refusal by the listener best.
ErrorKind refusalKind(int status)
{
    switch (status) {
    case 413:
    case 431:
        return ErrorKind::RequestTooLarge;
    case 503:
        return ErrorKind::Overloaded;
    default:
        return ErrorKind::MalformedRequest;
    }
}

std::string refusalBody(int status)
{
    const ErrorAnswer &answer = answerFor(refusalKind(status));
    std::string body = std::string(R"({"error":{"kind":")") + answer.m_name + R"(","reason":")"
                       + answer.m_text + R"(","run_state":"not_run")";
    if (answer.m_tellsWhenToComeBack)
        body += R"(,"retry_after_ms":)" + std::to_string(noRoomRetryDelay.count());
    return body + "}}";
}

} // namespace

struct HttpServer::Private : public std::enable_shared_from_this<Private>
{
    void handle(const ExchangePointer &exchange);
    ClientBudgetLimits budgetLimits() const;

    HttpServerOptions m_options;
    HttpHandler m_handler;
    EventLoop m_loop;
    std::unique_ptr<HttpListener> m_listener;
    std::thread m_thread; // Runs the loop.
    std::unique_ptr<asio::thread_pool> m_handlerThreads;
    std::string m_lastError;
};

ClientBudgetLimits HttpServer::Private::budgetLimits() const
{
    ClientBudgetLimits limits = m_options.m_budget;
    limits.m_maxConnections = std::min(limits.m_maxConnections, m_options.m_maxConnections);
    return limits;
}

void HttpServer::Private::handle(const ExchangePointer &exchange)
{
    if (exchange->head().m_headers.size() > m_options.m_maxHeaderCount) {
        const ErrorAnswer &answer = answerFor(ErrorKind::RequestTooLarge);
        exchange->answer(answer.m_httpStatus, {{"Content-Type", "application/json"}},
                         refusalBody(answer.m_httpStatus));
        return;
    }
    auto state = std::make_shared<WriteState>();
    exchange->onClientGone([state] { state->m_isGone = true; });
    const auto updateQueued = [state, weak = std::weak_ptr(exchange)] {
        const auto sent = weak.lock();
        state->m_queued = sent ? sent->queuedBytes() : 0;
    };
    exchange->onSent(updateQueued);
    exchange->onDrained(updateQueued);
    auto responder =
        std::make_shared<ExchangeResponder>(m_loop, exchange, std::move(state), shared_from_this());
    asio::post(*m_handlerThreads, [this, request = takeRequest(*exchange),
                                   responder = std::move(responder)]() mutable {
        m_handler(std::move(request), std::move(responder));
    });
}

HttpServer::HttpServer(const HttpServerOptions &options, HttpHandler handler)
    : m_d(std::make_shared<Private>())
{
    m_d->m_options = options;
    m_d->m_handler = std::move(handler);
}

HttpServer::~HttpServer()
{
    stop();
}

bool HttpServer::start()
{
    const HttpServerOptions &options = m_d->m_options;
    m_d->m_listener = std::make_unique<HttpListener>(
        m_d->m_loop, [d = m_d.get()](const ExchangePointer &exchange) { d->handle(exchange); },
        std::make_shared<ClientBudget>(m_d->budgetLimits()));
    m_d->m_listener->setLimits({options.m_maxHeaderBytes, options.m_maxBodyBytes,
                                options.m_idleLimit, options.m_idleLimit, options.m_writeLimit,
                                options.m_handleLimit, options.m_budget.m_maxResponseBytes});
    m_d->m_listener->setRefusalBody(refusalBody);
    if (!m_d->m_listener->start(options.m_listen, m_d->m_lastError)) {
        m_d->m_listener.reset();
        return false;
    }
    m_d->m_handlerThreads = std::make_unique<asio::thread_pool>(options.m_threads);
    m_d->m_thread = std::thread([d = m_d.get()] { d->m_loop.run(); });
    return true;
}

void HttpServer::stop()
{
    if (!m_d->m_thread.joinable())
        return;
    m_d->m_loop.stop();
    m_d->m_thread.join();
    m_d->m_handlerThreads->stop();
    m_d->m_handlerThreads->join();
    m_d->m_handlerThreads.reset();
    m_d->m_listener.reset();
}

const std::string &HttpServer::lastError() const
{
    return m_d->m_lastError;
}

} // namespace burdockhead
