#include <burdockhead/transport/workerpool.h>

#include <asio.hpp>
#include <thread>
#include <vector>

namespace burdockhead {

struct WorkerPool::Private
{
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_guard{
        asio::make_work_guard(m_context)};
    std::vector<std::thread> m_threads;
};

WorkerPool::WorkerPool(unsigned threads)
    : m_d(std::make_unique<Private>())
{
    for (unsigned index = 0; index < threads; ++index)
        m_d->m_threads.emplace_back([this] { m_d->m_context.run(); });
}

WorkerPool::~WorkerPool()
{
    stop();
}

void WorkerPool::post(std::function<void()> work)
{
    asio::post(m_d->m_context, std::move(work));
}

void WorkerPool::runAt(TimePoint when, std::function<void()> work)
{
    auto timer = std::make_shared<asio::steady_timer>(m_d->m_context, when);
    timer->async_wait([timer, work = std::move(work)](const asio::error_code &error) {
        if (!error)
            work();
    });
}

void WorkerPool::stop()
{
    m_d->m_context.stop();
    for (std::thread &thread : m_d->m_threads)
        thread.join();
    m_d->m_threads.clear();
}

void *WorkerPool::context()
{
    return &m_d->m_context;
}

} // namespace burdockhead
