#include <burdockhead/http/httpclient.h>
#include <burdockhead/http/httprequest.h>
#include <burdockhead/http/responsestatus.h>

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace burdockhead {

namespace {

constexpr int pollMilliseconds = 1000;
constexpr long idleConnections = 64;

// One call while it is open; touched only by the client's thread once started.
struct OpenCall
{
    std::uint64_t m_id = 0;
    HttpClientCall m_call;
    HttpCallHandlers m_handlers;
    CURL *m_easy = nullptr;
    curl_slist *m_headerList = nullptr;
    std::vector<HttpHeader> m_responseHeaders;
    bool m_headReported = false;
    bool m_isHeadWhole = false;      // The empty line after the latest head has come.
    bool m_isInvalid = false;        // What came is no response in HTTP.
    std::size_t m_bodyBytesRead = 0; // By the library.
};

struct CurlGlobal
{
    CurlGlobal() { curl_global_init(CURL_GLOBAL_DEFAULT); }
    ~CurlGlobal() { curl_global_cleanup(); }
};

void reportHead(OpenCall &open)
{
    if (open.m_headReported)
        return;
    open.m_headReported = true;
    long status = 0;
    curl_easy_getinfo(open.m_easy, CURLINFO_RESPONSE_CODE, &status);
    if (open.m_handlers.m_onHead)
        open.m_handlers.m_onHead(static_cast<int>(status), open.m_responseHeaders);
}

// Whether the head announces a body where none may follow.
bool announcesForbiddenBody(const OpenCall &open)
{
    long status = 0;
    curl_easy_getinfo(open.m_easy, CURLINFO_RESPONSE_CODE, &status);
    const auto length = findHeader(open.m_responseHeaders, "Content-Length");
    return mustAnnounceNoBody(static_cast<unsigned>(status))
           && (length.value_or("0") != "0"
               || findHeader(open.m_responseHeaders, "Transfer-Encoding").has_value());
}

// Fails the call by returning another number than the size.
std::size_t rejectResponse(OpenCall &open)
{
    open.m_isInvalid = true;
    return 0;
}

std::size_t onHeader(char *data, std::size_t, std::size_t size, void *user)
{
    auto &open = *static_cast<OpenCall *>(user);
    std::string_view line(data, size);
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
        line.remove_suffix(1);
    if (line.starts_with("HTTP/")) {
        open.m_responseHeaders.clear();
        open.m_isHeadWhole = false;
        return hasValidStatus(line) ? size : rejectResponse(open);
    }
    if (line.empty()) {
        if (announcesForbiddenBody(open))
            return rejectResponse(open);
        open.m_isHeadWhole = true;
        return size;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return size;
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    open.m_responseHeaders.push_back({std::string(line.substr(0, colon)), std::string(value)});
    return size;
}

std::size_t onBody(char *data, std::size_t, std::size_t size, void *user)
{
    auto &open = *static_cast<OpenCall *>(user);
    reportHead(open);
    if (open.m_handlers.m_onData)
        open.m_handlers.m_onData(std::string_view(data, size));
    return size;
}

std::size_t readBody(char *buffer, std::size_t, std::size_t size, void *user)
{
    auto &open = *static_cast<OpenCall *>(user);
    const std::size_t copied = open.m_call.m_body.copy(buffer, size, open.m_bodyBytesRead);
    open.m_bodyBytesRead += copied;
    return copied;
}

void setOptions(OpenCall &open)
{
    CURL *easy = open.m_easy;
    const HttpClientCall &call = open.m_call;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &open);
    curl_easy_setopt(easy, CURLOPT_URL, call.m_url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.m_method.c_str());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &open);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &open);
    const auto left = std::max<long>(1, millisecondsUntil(call.m_deadline, Clock::now()));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, left);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, left);
    if (call.m_neverResend) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!call.m_body.empty() || call.m_method == "POST" || call.m_method == "PUT") {
        // The library sends a request again by itself when a kept connection breaks before the
        // response. It can't with a body that it is unable to rewind.
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call.m_body.size()));
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, readBody);
        curl_easy_setopt(easy, CURLOPT_READDATA, &open);
    }
    open.m_headerList = curl_slist_append(nullptr, "Expect:");
    for (const HttpHeader &header : call.m_headers) {
        const std::string line = header.m_name + ": " + header.m_value;
        open.m_headerList = curl_slist_append(open.m_headerList, line.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, open.m_headerList);
}

// True once a part of the request has been handed to the connection.
bool wasSent(CURL *easy)
{
    long requestBytes = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    return requestBytes > 0;
}

} // namespace

struct HttpClient::Private
{
    CURLM *m_multi = nullptr;
    std::thread m_thread;
    std::mutex m_mutex; // Guards the three members below.
    std::vector<std::unique_ptr<OpenCall>> m_toStart;
    std::vector<std::uint64_t> m_toCancel;
    bool m_stopping = false;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, std::unique_ptr<OpenCall>> m_open; // The thread's own.

    void run();
    bool takeWork();
    void begin(std::unique_ptr<OpenCall> open);
    void reap();
    void end(OpenCall &open, const HttpOutcome &outcome);
    void cancelOpen(std::uint64_t id);
};

void HttpClient::Private::begin(std::unique_ptr<OpenCall> open)
{
    open->m_easy = curl_easy_init();
    setOptions(*open);
    OpenCall &call = *open;
    m_open.emplace(call.m_id, std::move(open));
    curl_multi_add_handle(m_multi, call.m_easy);
}

void HttpClient::Private::end(OpenCall &open, const HttpOutcome &outcome)
{
    const auto node = m_open.extract(open.m_id);
    curl_multi_remove_handle(m_multi, open.m_easy);
    curl_easy_cleanup(open.m_easy);
    curl_slist_free_all(open.m_headerList);
    if (open.m_handlers.m_onDone)
        open.m_handlers.m_onDone(outcome);
}

void HttpClient::Private::cancelOpen(std::uint64_t id)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return;
    HttpOutcome outcome;
    outcome.m_cancelled = true;
    outcome.m_sent = wasSent(found->second->m_easy);
    outcome.m_reason = "cancelled";
    end(*found->second, outcome);
}

// False when the client is stopping.
bool HttpClient::Private::takeWork()
{
    std::vector<std::unique_ptr<OpenCall>> toStart;
    std::vector<std::uint64_t> toCancel;
    bool stopping = false;
    {
        const std::lock_guard lock(m_mutex);
        toStart.swap(m_toStart);
        toCancel.swap(m_toCancel);
        stopping = m_stopping;
    }
    for (auto &open : toStart)
        begin(std::move(open));
    for (const std::uint64_t id : toCancel)
        cancelOpen(id);
    return !stopping;
}

void HttpClient::Private::reap()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        const CURLcode result = message->data.result;
        char *pointer = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &pointer);
        auto &open = *reinterpret_cast<OpenCall *>(pointer);
        HttpOutcome outcome;
        // The library takes a head that is cut by the end of its connection for a whole one.
        outcome.m_completed = result == CURLE_OK && open.m_isHeadWhole;
        outcome.m_sent = wasSent(open.m_easy);
        long status = 0;
        curl_easy_getinfo(open.m_easy, CURLINFO_RESPONSE_CODE, &status);
        outcome.m_status = open.m_isInvalid ? 0 : static_cast<int>(status);
        if (outcome.m_completed)
            reportHead(open);
        else if (open.m_isInvalid)
            outcome.m_reason = "the response is not valid in HTTP";
        else
            outcome.m_reason =
                result == CURLE_OK ? "the head is cut short" : curl_easy_strerror(result);
        end(open, outcome);
    }
}

void HttpClient::Private::run()
{
    while (takeWork()) {
        int running = 0;
        curl_multi_perform(m_multi, &running);
        reap();
        curl_multi_poll(m_multi, nullptr, 0, pollMilliseconds, nullptr);
    }
    while (!m_open.empty())
        cancelOpen(m_open.begin()->first);
}

HttpClient::HttpClient()
    : m_d(std::make_unique<Private>())
{
    static const CurlGlobal global;
    m_d->m_multi = curl_multi_init();
    curl_multi_setopt(m_d->m_multi, CURLMOPT_MAXCONNECTS, idleConnections);
    m_d->m_thread = std::thread([this] { m_d->run(); });
}

HttpClient::~HttpClient()
{
    {
        const std::lock_guard lock(m_d->m_mutex);
        m_d->m_stopping = true;
    }
    curl_multi_wakeup(m_d->m_multi);
    m_d->m_thread.join();
    curl_multi_cleanup(m_d->m_multi);
}

std::uint64_t HttpClient::start(HttpClientCall call, HttpCallHandlers handlers)
{
    auto open = std::make_unique<OpenCall>();
    open->m_call = std::move(call);
    open->m_handlers = std::move(handlers);
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(m_d->m_mutex);
        id = m_d->m_nextId++;
        open->m_id = id;
        m_d->m_toStart.push_back(std::move(open));
    }
    curl_multi_wakeup(m_d->m_multi);
    return id;
}

void HttpClient::cancel(std::uint64_t id)
{
    {
        const std::lock_guard lock(m_d->m_mutex);
        m_d->m_toCancel.push_back(id);
    }
    curl_multi_wakeup(m_d->m_multi);
}

std::optional<HttpResponse> HttpClient::callAndWait(HttpClientCall call, Failure &failure)
{
    auto response = std::make_shared<HttpResponse>();
    auto done = std::make_shared<std::promise<HttpOutcome>>();
    auto future = done->get_future();
    HttpCallHandlers handlers;
    handlers.m_onHead = [response](int status, const std::vector<HttpHeader> &headers) {
        response->m_status = status;
        response->m_headers = headers;
    };
    handlers.m_onData = [response](std::string_view data) { response->m_body.append(data); };
    handlers.m_onDone = [done](const HttpOutcome &outcome) { done->set_value(outcome); };
    start(std::move(call), std::move(handlers));
    const HttpOutcome outcome = future.get();
    if (!outcome.m_completed) {
        failure = {ErrorKind::PeerUnreachable, outcome.m_reason};
        return std::nullopt;
    }
    return std::move(*response);
}

} // namespace burdockhead
