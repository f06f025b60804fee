#pragma once

#include <burdockhead/http/httpresponse.h>

#include <string>
#include <vector>

namespace burdockhead {

// Answers one request, from any thread, once: either respond(), or begin(), any number of
// write() and finish(). Calls after the end do nothing.
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    // Sends a whole response.
    virtual void respond(HttpResponse response) = 0;

    // Starts a response of unknown length, sent in chunks.
    virtual void begin(int status, std::vector<HttpHeader> headers) = 0;

    // Sends a chunk at once. False when the connection is known to be gone; true does not
    // mean that the caller has received it.
    virtual bool write(std::string chunk) = 0;

    // Ends a response started with begin().
    virtual void finish() = 0;

    // True once a write has failed because the connection is gone.
    virtual bool gone() const = 0;

    // Chunk bytes handed over and not yet written to the socket.
    virtual std::size_t unwrittenBytes() const = 0;
};

} // namespace burdockhead
