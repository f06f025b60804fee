#include <burdockhead/entry/responsewriter.h>

namespace burdockhead {

namespace {

constexpr int okStatus = 200;
constexpr std::size_t maxUnwrittenBytes = 4 << 20;
constexpr std::string_view eventStreamType = "text/event-stream";

} // namespace

ResponseWriter::ResponseWriter(std::shared_ptr<HttpResponder> responder, bool wantsStream)
    : m_responder(std::move(responder))
    , m_wantsStream(wantsStream)
{}

void ResponseWriter::beginAttempt()
{
    m_bodyOffset = 0;
    m_events.discardPartialEvent();
    if (!m_isStreaming) {
        m_hasHead = false;
        m_body.clear();
    }
}

void ResponseWriter::beginStream()
{
    if (m_hasStreamBegun)
        return;
    m_hasStreamBegun = true;
    m_responder->begin(okStatus,
                       {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}});
}

void ResponseWriter::setHead(const HeadFrame &head)
{
    m_head = head;
    m_hasHead = true;
    m_isStreaming = m_wantsStream && head.m_status == okStatus
                    && head.m_contentType.starts_with(eventStreamType);
    if (m_isStreaming)
        beginStream();
}

bool ResponseWriter::appendData(std::uint64_t offset, std::string_view data)
{
    if (offset > m_bodyOffset)
        return false;
    if (offset + data.size() <= m_bodyOffset)
        return true;
    data.remove_prefix(m_bodyOffset - offset);
    m_bodyOffset += data.size();
    if (m_isStreaming)
        m_responder->write(m_events.extractEvents(data));
    else
        m_body.append(data);
    return true;
}

bool ResponseWriter::complete(std::uint64_t length)
{
    if (!m_hasHead || length != m_bodyOffset)
        return false;
    if (m_isStreaming) {
        if (!m_events.isDone())
            return false;
        m_responder->finish();
        return true;
    }
    if (m_hasStreamBegun) {
        m_responder->write("data: " + m_body + "\n\n");
        m_responder->finish();
        return true;
    }
    HttpResponse response;
    response.m_status = m_head.m_status;
    response.m_headers.push_back({"Content-Type", m_head.m_contentType});
    if (m_head.m_replayed)
        response.m_headers.push_back({"Idempotency-Replayed", "true"});
    response.m_body = std::move(m_body);
    m_responder->respond(std::move(response));
    return true;
}

void ResponseWriter::fail(const CallerError &error, TimePoint now)
{
    if (!m_hasStreamBegun) {
        m_responder->respond(errorResponse(error, now));
        return;
    }
    m_responder->write("event: error\ndata: " + errorJson(error, now) + "\n\n");
    m_responder->finish();
}

void ResponseWriter::writeKeepAlive()
{
    if (!m_wantsStream || (m_hasHead && !m_isStreaming))
        return;
    beginStream();
    m_responder->write(": waiting\n\n");
}

bool ResponseWriter::isCallerUnreachable() const
{
    return m_responder->gone() || m_responder->unwrittenBytes() > maxUnwrittenBytes;
}

} // namespace burdockhead
