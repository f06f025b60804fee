#include <burdockhead/entry/answerwriter.h>

namespace burdockhead {

namespace {

constexpr int okStatus = 200;
constexpr std::size_t maxUnwrittenBytes = 4 << 20;
constexpr std::string_view eventStreamType = "text/event-stream";

} // namespace

AnswerWriter::AnswerWriter(std::shared_ptr<HttpResponder> responder, bool wantsStream)
    : m_responder(std::move(responder))
    , m_wantsStream(wantsStream)
{}

void AnswerWriter::beginAttempt()
{
    m_offset = 0;
    m_events.dropPartial();
    if (!m_streaming) {
        m_headTaken = false;
        m_body.clear();
    }
}

void AnswerWriter::beginStream()
{
    if (m_streamBegun)
        return;
    m_streamBegun = true;
    m_responder->begin(okStatus,
                       {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}});
}

void AnswerWriter::takeHead(const HeadFrame &head)
{
    m_head = head;
    m_headTaken = true;
    m_streaming = m_wantsStream && head.m_status == okStatus
                  && head.m_contentType.starts_with(eventStreamType);
    if (m_streaming)
        beginStream();
}

bool AnswerWriter::takeData(std::uint64_t offset, std::string_view data)
{
    if (offset > m_offset)
        return false;
    if (offset + data.size() <= m_offset)
        return true;
    data.remove_prefix(m_offset - offset);
    m_offset += data.size();
    if (m_streaming)
        m_responder->write(m_events.take(data));
    else
        m_body.append(data);
    return true;
}

bool AnswerWriter::takeEnd(std::uint64_t length)
{
    if (!m_headTaken || length != m_offset)
        return false;
    if (m_streaming) {
        if (!m_events.done())
            return false;
        m_responder->finish();
        return true;
    }
    if (m_streamBegun) {
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

void AnswerWriter::fail(const CallerError &error, TimePoint now)
{
    if (!m_streamBegun) {
        m_responder->respond(errorResponse(error, now));
        return;
    }
    m_responder->write("event: error\ndata: " + errorJson(error, now) + "\n\n");
    m_responder->finish();
}

void AnswerWriter::keepAlive()
{
    if (!m_wantsStream || (m_headTaken && !m_streaming))
        return;
    beginStream();
    m_responder->write(": waiting\n\n");
}

bool AnswerWriter::callerGone() const
{
    return m_responder->gone() || m_responder->unwrittenBytes() > maxUnwrittenBytes;
}

} // namespace burdockhead
