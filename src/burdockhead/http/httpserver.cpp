#include <burdockhead/base/erroranswer.h>
#include <burdockhead/http/httpserver.h>

#include <restinio/all.hpp>

#include <atomic>
#include <mutex>
#include <thread>

namespace burdockhead {

namespace {

struct ServerTraits : public restinio::default_traits_t
{
    // The name is given by RESTinio.
    static constexpr bool use_connection_count_limiter = true; // NOLINT
};

using ChunkedBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

// Shared with write callbacks, which may come after the responder has gone.
struct WriteState
{
    std::atomic<bool> m_gone = false;
    std::atomic<std::size_t> m_unwritten = 0;
};

restinio::http_status_line_t statusLine(int status)
{
    return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            status < 400 ? "OK" : "Error"};
}

// Answers one RESTinio request.
class RestinioResponder : public HttpResponder
{
public:
    // The owner holds what the request's connection lives on.
    RestinioResponder(restinio::request_handle_t request, std::shared_ptr<void> owner)
        : m_owner(std::move(owner))
        , m_request(std::move(request))
        , m_state(std::make_shared<WriteState>())
    {}

    ~RestinioResponder() override { finishLocked(); }

    void respond(HttpResponse response) override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_request)
            return;
        auto builder = m_request->create_response(statusLine(response.m_status));
        for (const HttpHeader &header : response.m_headers)
            builder.append_header(header.m_name, header.m_value);
        builder.set_body(std::move(response.m_body));
        builder.done();
        m_request.reset();
    }

    void begin(int status, std::vector<HttpHeader> headers) override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_request || m_builder)
            return;
        m_builder.emplace(
            m_request->create_response<restinio::chunked_output_t>(statusLine(status)));
        for (const HttpHeader &header : headers)
            m_builder->append_header(header.m_name, header.m_value);
        m_builder->flush();
    }

    bool write(std::string chunk) override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_builder || m_state->m_gone)
            return false;
        if (chunk.empty())
            return true;
        const std::size_t size = chunk.size();
        m_state->m_unwritten += size;
        m_builder->append_chunk(std::move(chunk));
        m_builder->flush([state = m_state, size](const auto &error) {
            state->m_unwritten -= size;
            if (error)
                state->m_gone = true;
        });
        return true;
    }

    void finish() override
    {
        const std::lock_guard lock(m_mutex);
        finishLocked();
    }

    bool gone() const override { return m_state->m_gone; }

    std::size_t unwrittenBytes() const override { return m_state->m_unwritten; }

private:
    void finishLocked()
    {
        if (m_builder)
            m_builder->done();
        m_builder.reset();
        m_request.reset();
    }

    std::shared_ptr<void> m_owner; // Destroyed last.
    std::mutex m_mutex;
    restinio::request_handle_t m_request;
    std::optional<ChunkedBuilder> m_builder;
    std::shared_ptr<WriteState> m_state;
};

HttpRequest readRequest(const restinio::request_handle_t &handle)
{
    HttpRequest request;
    const auto &head = handle->header();
    request.m_method = head.method().c_str();
    request.m_path = std::string(head.path());
    request.m_query = std::string(head.query());
    head.for_each_field([&request](const auto &field) {
        request.m_headers.push_back({field.name(), field.value()});
    });
    request.m_body = handle->body();
    return request;
}

HttpResponse tooLarge()
{
    const ErrorAnswer &answer = answerFor(ErrorKind::RequestTooLarge);
    HttpResponse response;
    response.m_status = answer.m_httpStatus;
    response.m_headers.push_back({"Content-Type", "application/json"});
    response.m_body = std::string(R"({"error":{"kind":")") + answer.m_name + R"(","reason":")"
                      + answer.m_text + R"(","run_state":"not_run"}})";
    return response;
}

} // namespace

struct HttpServer::Private : public std::enable_shared_from_this<Private>
{
    HttpServerOptions m_options;
    HttpHandler m_handler;
    asio::io_context m_context;
    std::unique_ptr<restinio::http_server_t<ServerTraits>> m_server;
    std::vector<std::thread> m_threads;
    std::string m_lastError;

    restinio::request_handling_status_t handle(restinio::request_handle_t handle);
    void configure(restinio::server_settings_t<ServerTraits> &settings);
};

restinio::request_handling_status_t HttpServer::Private::handle(restinio::request_handle_t handle)
{
    HttpRequest request = readRequest(handle);
    auto responder = std::make_shared<RestinioResponder>(std::move(handle), shared_from_this());
    if (request.m_body.size() > m_options.m_maxBodyBytes
        || request.m_headers.size() > m_options.m_maxHeaderCount)
        responder->respond(tooLarge());
    else
        m_handler(std::move(request), std::move(responder));
    return restinio::request_accepted();
}

void HttpServer::Private::configure(restinio::server_settings_t<ServerTraits> &settings)
{
    settings.address(m_options.m_listen.m_host)
        .port(m_options.m_listen.m_port)
        .read_next_http_message_timelimit(m_options.m_idleLimit)
        .handle_request_timeout(m_options.m_handleLimit)
        .write_http_response_timelimit(m_options.m_writeLimit)
        .max_parallel_connections(m_options.m_maxConnections)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_body_size(2 * m_options.m_maxBodyBytes)
                                      .max_field_count(2 * m_options.m_maxHeaderCount))
        .request_handler(
            [this](restinio::request_handle_t request) { return handle(std::move(request)); });
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
    try {
        m_d->m_server = std::make_unique<restinio::http_server_t<ServerTraits>>(
            restinio::external_io_context(m_d->m_context),
            [this](auto &settings) { m_d->configure(settings); });
        m_d->m_server->open_sync();
    } catch (const std::exception &error) {
        m_d->m_lastError = error.what();
        m_d->m_server.reset();
        return false;
    }
    for (unsigned index = 0; index < m_d->m_options.m_threads; ++index)
        m_d->m_threads.emplace_back([this] { m_d->m_context.run(); });
    return true;
}

void HttpServer::stop()
{
    if (m_d->m_threads.empty())
        return;
    m_d->m_context.stop();
    for (std::thread &thread : m_d->m_threads)
        thread.join();
    m_d->m_threads.clear();
}

const std::string &HttpServer::lastError() const
{
    return m_d->m_lastError;
}

} // namespace burdockhead
