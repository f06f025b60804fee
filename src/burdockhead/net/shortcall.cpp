#include <burdockhead/net/httpwriting.h>
#include <burdockhead/net/shortcall.h>

namespace burdockhead {

namespace {

// A kept connection that was idle for longer isn't used, since the other side may close it.
constexpr Milliseconds maxIdle{2000};

// A longer answer isn't waited for: the longest have the counts of a rank.
constexpr std::size_t maxBodyBytes = 4194304;

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
                     TimePoint deadline, Done done, const HttpHeaders &headers)
    : m_loop(loop)
    , m_address(address)
    , m_done(std::move(done))
{
    HttpHeaders all = {{"Host", address.toString()}};
    all.insert(all.end(), headers.begin(), headers.end());
    if (!body.empty()) {
        all.push_back({"Content-Type", "application/json"});
        all.push_back({"Content-Length", std::to_string(body.size())});
    }
    m_call = client.call(address, requestHead(method, target, all) + body,
                         {deadline, maxIdle, false}, *this);
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
