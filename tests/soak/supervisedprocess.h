#pragma once

#include "childprocess.h"
#include <burdockhead/base/timepoint.h>

#include <memory>
#include <string>
#include <vector>

namespace burdockhead::test {

// A process that faults kill, stop and pause, and that is started again when it has ended.
class SupervisedProcess
{
public:
    // Starts it; its output is appended to the log file.
    SupervisedProcess(std::vector<std::string> arguments, std::string log);

    // Starts it again if it has ended and isn't kept down; to be called now and then.
    void keepRunning();

    // Send signals; a process that is down or paused gets none.
    void terminate();
    void reload();

    // Kills it and keeps it down until revive().
    void kill();
    void revive() { m_isDown = false; }

    // Stops and continues it.
    void pause();
    void resume();

    // Returns how it ended without or other than by order, one line each time.
    const std::vector<std::string> &unexpectedEnds() const { return m_unexpectedEnds; }

    // Returns when it was last started, signalled or continued.
    TimePoint disturbedAt() const { return m_disturbedAt; }

private:
    void start();

    // Returns whether it can be disturbed, and if so notes that it was.
    bool disturb();

    const std::vector<std::string> m_arguments;
    const std::string m_log;
    std::unique_ptr<ChildProcess> m_process;
    bool m_isDown = false;
    bool m_isPaused = false;
    bool m_isStopping = false; // It was told to stop.
    bool m_isKilled = false;
    std::vector<std::string> m_unexpectedEnds;
    TimePoint m_disturbedAt;
};

} // namespace burdockhead::test
