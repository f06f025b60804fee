#include "childprocess.h"

#include <sys/wait.h>

#include <csignal>
#include <spawn.h>
#include <unistd.h>

namespace burdockhead {

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments)
{
    std::vector<std::string> programAndArguments = {program};
    programAndArguments.insert(programAndArguments.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    argv.reserve(programAndArguments.size() + 1);
    for (std::string &argument : programAndArguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    if (posix_spawn(&m_pid, program.c_str(), nullptr, nullptr, argv.data(), environ) != 0)
        m_pid = -1;
}

ChildProcess::~ChildProcess()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

} // namespace burdockhead
