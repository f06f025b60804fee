#pragma once

#include <burdockhead/base/timepoint.h>

#include <functional>
#include <memory>

namespace burdockhead {

// A fixed number of threads that run posted work and I/O completions. Work posted to it may
// run on any of its threads, several at a time.
class WorkerPool
{
public:
    explicit WorkerPool(unsigned threads);
    // Stops and joins.
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    // Runs the work soon.
    void post(std::function<void()> work);

    // Runs the work at the time point, or soon when it has passed. It can't be taken back;
    // the work must find out by itself whether it is still wanted.
    void runAt(TimePoint when, std::function<void()> work);

    // Drops what has not started and joins the threads.
    void stop();

    // The asio::io_context, for sources that include Asio.
    void *context();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
