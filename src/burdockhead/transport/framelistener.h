#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/transport/framebudget.h>
#include <burdockhead/transport/frameconnection.h>

#include <functional>
#include <memory>
#include <string>

namespace burdockhead {

class WorkerPool;

// Accepts connections that carry frames.
class FrameListener
{
public:
    FrameListener(WorkerPool &pool, SocketAddress listen,
                  std::function<void(FrameConnectionPointer)> onConnection,
                  const FrameBudgetLimits &limits = {});
    // Closes the port; accepted connections stay open.
    ~FrameListener();
    FrameListener(const FrameListener &) = delete;
    FrameListener &operator=(const FrameListener &) = delete;

    // Opens the port. False when it is taken; lastError() then says why.
    bool start();

    const std::string &lastError() const;

private:
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace burdockhead
