#include "supervisedprocess.h"

#include <csignal>
#include <utility>

namespace burdockhead::test {

SupervisedProcess::SupervisedProcess(std::vector<std::string> arguments, std::string log)
    : m_arguments(std::move(arguments))
    , m_log(std::move(log))
{
    start();
}

void SupervisedProcess::start()
{
    m_process = std::make_unique<ChildProcess>(m_arguments, m_log);
    m_isStopping = false;
    m_isKilled = false;
    m_disturbedAt = Clock::now();
}

void SupervisedProcess::keepRunning()
{
    if (m_isDown || m_isPaused || m_process->running())
        return;
    // One that is told to stop before it handles signals ends by the signal.
    const int status = m_process->wait();
    const bool isOrdered = m_isStopping && (status == 0 || status == -SIGTERM);
    if (!m_isKilled && !isOrdered)
        m_unexpectedEnds.push_back(m_log + ": ended with status " + std::to_string(status));
    start();
}

bool SupervisedProcess::disturb()
{
    if (m_isDown || m_isPaused || !m_process->running())
        return false;
    m_disturbedAt = Clock::now();
    return true;
}

void SupervisedProcess::terminate()
{
    if (!disturb())
        return;
    m_isStopping = true;
    m_process->signal(SIGTERM);
}

void SupervisedProcess::reload()
{
    if (disturb())
        m_process->signal(SIGHUP);
}

void SupervisedProcess::kill()
{
    if (!disturb())
        return;
    m_process->kill();
    m_isDown = true;
    m_isKilled = true;
}

void SupervisedProcess::pause()
{
    if (!disturb())
        return;
    m_process->signal(SIGSTOP);
    m_isPaused = true;
}

void SupervisedProcess::resume()
{
    m_process->signal(SIGCONT);
    m_isPaused = false;
    m_disturbedAt = Clock::now();
}

} // namespace burdockhead::test
