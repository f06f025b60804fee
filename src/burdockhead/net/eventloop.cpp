#include <burdockhead/net/eventloop.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <unordered_map>
#include <vector>

namespace burdockhead {

namespace {

struct SignalHandler
{
    SignalHandler(asio::io_context &context, int signalNumber, std::function<void()> action)
        : m_signals(context, signalNumber)
        , m_action(std::move(action))
    {}

    asio::signal_set m_signals;
    std::function<void()> m_action;
};

} // namespace

struct EventLoop::Private
{
    using Key = std::pair<TimePoint, TimerId>;

    void arm();
    void runDue();
    void waitForSignal(SignalHandler &handler);

    asio::io_context m_context{1};
    asio::steady_timer m_timer{m_context};
    TimePoint m_armedFor = TimePoint::max();
    std::map<Key, std::function<void()>> m_timers;
    std::unordered_map<TimerId, TimePoint> m_deadlines;
    TimerId m_lastTimer = 0;
    std::vector<std::unique_ptr<SignalHandler>> m_signalHandlers;
};

void EventLoop::Private::arm()
{
    if (m_timers.empty() || m_timers.begin()->first.first >= m_armedFor)
        return;
    m_armedFor = m_timers.begin()->first.first;
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error)
            runDue();
    });
}

void EventLoop::Private::runDue()
{
    m_armedFor = TimePoint::max();
    const TimePoint now = Clock::now();
    while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
        auto node = m_timers.extract(m_timers.begin());
        m_deadlines.erase(node.key().second);
        node.mapped()();
    }
    arm();
}

void EventLoop::Private::waitForSignal(SignalHandler &handler)
{
    handler.m_signals.async_wait([this, &handler](const asio::error_code &error, int) {
        if (error)
            return;
        handler.m_action();
        waitForSignal(handler);
    });
}

EventLoop::EventLoop()
    : m_d(std::make_unique<Private>())
{}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    const auto work = asio::make_work_guard(m_d->m_context);
    m_d->m_context.run();
}

void EventLoop::stop()
{
    m_d->m_context.stop();
}

void EventLoop::restart()
{
    m_d->m_context.restart();
}

TimerId EventLoop::callAt(TimePoint deadline, std::function<void()> action)
{
    const TimerId timer = ++m_d->m_lastTimer;
    m_d->m_timers.emplace(Private::Key(deadline, timer), std::move(action));
    m_d->m_deadlines.emplace(timer, deadline);
    m_d->arm();
    return timer;
}

void EventLoop::cancel(TimerId &timer)
{
    const auto found = m_d->m_deadlines.find(timer);
    if (found != m_d->m_deadlines.end()) {
        m_d->m_timers.erase({found->second, timer});
        m_d->m_deadlines.erase(found);
    }
    timer = 0;
}

void EventLoop::post(std::function<void()> action)
{
    asio::post(m_d->m_context, std::move(action));
}

void EventLoop::onSignal(int signalNumber, std::function<void()> action)
{
    auto handler = std::make_unique<SignalHandler>(m_d->m_context, signalNumber, std::move(action));
    m_d->waitForSignal(*handler);
    m_d->m_signalHandlers.push_back(std::move(handler));
}

asio::io_context &EventLoop::context()
{
    return m_d->m_context;
}

} // namespace burdockhead
