#pragma once

#include <burdockhead/entry/errorresponse.h>
#include <burdockhead/entry/eventstream.h>
#include <burdockhead/http/httpresponder.h>
#include <burdockhead/transport/headframe.h>

#include <memory>
#include <string>

namespace burdockhead {

// Writes one request's answer to its caller. Pieces may come from several attempts, one
// after the other; only bytes that continue the answer are passed on, and an answer is only
// closed as whole when all of it has been written. Not thread-safe.
class AnswerWriter
{
public:
    AnswerWriter(std::shared_ptr<HttpResponder> responder, bool wantsStream);

    // Starts on a further attempt; an event that was begun is forgotten.
    void beginAttempt();

    // Takes the head of an attempt's answer.
    void takeHead(const HeadFrame &head);

    // Takes a piece of the body. Bytes before the present offset are dropped as copies;
    // false when bytes are missing in between.
    bool takeData(std::uint64_t offset, std::string_view data);

    // Ends the answer. False, and nothing is written, when it is not whole.
    bool takeEnd(std::uint64_t length);

    // Ends with an error: a whole response, or the last event of a stream begun before.
    void fail(const CallerError &error, TimePoint now);

    // Shows a waiting caller of a stream that the request is alive. The failing write is
    // how a caller that left is found out.
    void keepAlive();

    // True when the caller has gone, or reads so slowly that the answer is given up.
    bool callerGone() const;

    // Whole tokens sent to the caller of a stream so far.
    std::uint64_t tokensSent() const { return m_events.tokens(); }

    // True once something of the answer's content was taken.
    bool begun() const { return m_headTaken; }

    // True when another attempt can go on from here.
    bool resumable() const { return !m_headTaken || m_streaming; }

private:
    void beginStream();

    std::shared_ptr<HttpResponder> m_responder;
    bool m_wantsStream;
    bool m_headTaken = false;
    bool m_streaming = false; // The answer's body is an event stream.
    bool m_streamBegun = false;
    HeadFrame m_head;
    EventStream m_events;
    std::string m_body;
    std::uint64_t m_offset = 0; // Bytes taken of the present attempt's body.
};

} // namespace burdockhead
