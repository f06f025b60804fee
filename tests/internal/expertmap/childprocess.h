#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace burdockhead {

// A child process that is killed when the object is destroyed.
class ChildProcess
{
public:
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

private:
    pid_t m_pid = -1;
};

} // namespace burdockhead
