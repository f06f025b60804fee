#include <burdockhead/base/random.h>
#include <burdockhead/net/httpwriting.h>
#include <burdockhead/net/shortcall.h>

#include <fmt/format.h>

#include <random>

namespace burdockhead {

namespace {

// A kept connection that was idle for longer isn't used, since the other side may close it.
constexpr Milliseconds maxIdle{2000};

// A longer answer isn't waited for: the longest have the counts of a rank.
constexpr std::size_t maxBodyBytes = 4194304;

constexpr const char *requestIdHeader = "X-Request-Id";

std::string nextRequestId()
{
    static Random random{std::random_device()()};
    return fmt::format("{:016x}", random());
}

const char *failureOf(CallEnd end)
{
    switch (end) {
    case CallEnd::Complete:
        return "";
    case CallEnd::NotSent:
        return "not connected";
    case CallEnd::Broken:
        return "connection broke";
    case CallEnd::Malformed:
        return "malformed answer";
    }
    return "";
}

} // namespace

ShortCall::ShortCall(EventLoop &loop, HttpClientPool &client, const SocketAddress &address,
                     const std::string &method, const std::string &target, const std::string &body,
                     TimePoint deadline, Done done, const ShortCallOptions &options)
    : m_loop(loop)
    , m_address(address)
    , m_done(std::move(done))
{
    const HttpHeader requestId = {requestIdHeader, nextRequestId()};
    HttpHeaders all = {{"Host", address.toString()}};
    if (options.m_identity == ResponseIdentity::Echo)
        all.push_back(requestId);
    all.insert(all.end(), options.m_headers.begin(), options.m_headers.end());
    if (!body.empty()) {
        all.push_back({"Content-Type", "application/json"});
        all.push_back({"Content-Length", std::to_string(body.size())});
    }
    m_call = client.call(address, requestHead(method, target, all) + body,
                         {deadline, maxIdle, false, options.m_identity, requestId}, *this);
    m_timer = loop.callAt(deadline, [this] {
        m_timer = 0;
        m_status = 0;
        m_failure = "no answer in time";
        finish();
    });
}

ShortCall::~ShortCall()
{
    m_loop.cancel(m_timer);
}

void ShortCall::callBody(std::string_view bytes)
{
    if (m_body.size() + bytes.size() > maxBodyBytes) {
        m_status = 0;
        m_failure = "answer too long";
        finish();
        return;
    }
    m_body.append(bytes);
}

void ShortCall::callEnded(CallEnd end)
{
    if (end != CallEnd::Complete)
        m_status = 0;
    m_failure = failureOf(end);
    finish();
}

void ShortCall::finish()
{
    m_call.reset();
    m_loop.cancel(m_timer);
    m_isDone = true;
    const Done done = std::move(m_done);
    done(*this);
}

} // namespace burdockhead
