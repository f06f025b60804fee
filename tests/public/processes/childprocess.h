#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// A program that a test started. Killed when the object goes.
class ChildProcess
{
public:
    // Starts the program with its output going to the log file, and with at most so many open
    // descriptors; 0 for as many as the test may have.
    ChildProcess(const std::vector<std::string> &arguments, const std::string &logFile,
                 std::size_t maxDescriptors = 0);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    // Sends a signal if the process still runs.
    void signal(int number) const;

    // Kills it at once and waits for its end.
    void kill();

    // Waits for its end and gives its exit status; negative after a signal.
    int wait();

    bool running();

    // Returns the most memory that it has had resident; 0 if that can't be read.
    std::size_t peakMemoryKilobytes() const;

    // Returns the processor time that it has used; none if that can't be read.
    std::optional<std::chrono::milliseconds> processorTime() const;

    // Returns the descriptors that it has open; 0 if they can't be read.
    std::size_t openDescriptors() const;

private:
    pid_t m_pid = -1;
    int m_status = 0;
};

} // namespace burdockhead
