#pragma once

#include <burdockhead/entry/errorresponse.h>
#include <burdockhead/entry/eventstreamparser.h>
#include <burdockhead/http/httpresponder.h>
#include <burdockhead/transport/headframe.h>

#include <memory>
#include <string>

namespace burdockhead {

// Writes the response to one request. Successive attempts may each supply a section of it.
// Only bytes that continue the response are forwarded, and it is finished normally only when
// it is complete. Not thread-safe.
class ResponseWriter
{
public:
    ResponseWriter(std::shared_ptr<HttpResponder> responder, bool wantsStream);

    // Prepares for the response of another attempt; discards an incomplete event.
    void beginAttempt();

    // Sets the status and headers of the attempt's response.
    void setHead(const HeadFrame &head);

    // Appends data at an offset of the attempt's body. Drops bytes that were received before as
    // duplicates; returns false when bytes are missing before the offset.
    bool appendData(std::uint64_t offset, std::string_view data);

    // Finishes the response. Returns false and writes nothing when it is incomplete.
    bool complete(std::uint64_t length);

    // Ends with an error: a complete error response, or the last event of a started stream.
    void fail(const CallerError &error, TimePoint now);

    // Sends a stream comment as a keep-alive to a caller that requested a stream. A failed write
    // also reveals that the caller has disconnected.
    void writeKeepAlive();

    // Returns true when the caller has disconnected, or reads so slowly that its unwritten data
    // exceeds the limit.
    bool isCallerUnreachable() const;

    // Returns the number of tokens sent to the caller of a stream.
    std::uint64_t tokensSent() const { return m_events.tokenCount(); }

    // Returns true once the current response has a head.
    bool hasHead() const { return m_hasHead; }

    // Returns true when another attempt can continue the response from here.
    bool isResumable() const { return !m_hasHead || m_isStreaming; }

private:
    // Sends the head of a stream once.
    void beginStream();

    std::shared_ptr<HttpResponder> m_responder;
    bool m_wantsStream;
    bool m_hasHead = false;
    bool m_isStreaming = false; // The attempt's body is an event stream.
    bool m_hasStreamBegun = false;
    HeadFrame m_head;
    EventStreamParser m_events;
    std::string m_body;
    std::uint64_t m_bodyOffset = 0; // Body bytes received from the current attempt.
};

} // namespace burdockhead
