#pragma once

#include <burdockhead/net/httphead.h>

#include <cstddef>
#include <memory>
#include <string_view>

namespace burdockhead {

// Receives the parts of a message in their order.
class HttpMessageSink
{
public:
    virtual void messageHead(HttpHead head) = 0;
    virtual void messageBody(std::string_view bytes) = 0;

protected:
    ~HttpMessageSink() = default;
};

enum class HttpMessageType {
    Request,
    Response,
};

// Parses one HTTP/1.1 message after the other from a connection's bytes.
class HttpMessageParser
{
public:
    HttpMessageParser(HttpMessageType type, HttpMessageSink &sink);
    ~HttpMessageParser();
    HttpMessageParser(const HttpMessageParser &) = delete;
    HttpMessageParser &operator=(const HttpMessageParser &) = delete;

    // Makes ready for the next message. A response to HEAD has no body whatever its head says.
    void reset(bool hasNoBody = false);

    // Parses up to the end of the message; the number of bytes that belonged to it.
    std::size_t feed(std::string_view bytes);

    // The connection ended; completes a response that has no length.
    void finish();

    bool isMalformed() const;
    bool isComplete() const;

    // Whether a byte of the message has come.
    bool hasBegun() const;

    // Whether the head has come.
    bool hasHead() const;

    // Bytes of the head so far, as they were sent.
    std::size_t headBytes() const;

    // Memory that the head takes, here or where it has gone.
    std::size_t headMemory() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
