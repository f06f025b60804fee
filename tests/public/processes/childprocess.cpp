#include "childprocess.h"

#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <system_error>
#include <unistd.h>

namespace burdockhead {

namespace {

[[noreturn]] void runProgram(const std::vector<std::string> &arguments, const std::string &logFile,
                             std::size_t maxDescriptors)
{
    // A test that is ended from outside must not leave processes behind.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // Otherwise ports that the test closes stay open in the child.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    if (maxDescriptors > 0) {
        const rlimit limit = {maxDescriptors, maxDescriptors};
        if (setrlimit(RLIMIT_NOFILE, &limit) != 0)
            _exit(126);
    }
    std::vector<char *> pointers;
    pointers.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments)
        pointers.push_back(const_cast<char *>(argument.c_str()));
    pointers.push_back(nullptr);
    execv(pointers.front(), pointers.data());
    _exit(127);
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &arguments, const std::string &logFile,
                           std::size_t maxDescriptors)
{
    m_pid = fork();
    if (m_pid == 0)
        runProgram(arguments, logFile, maxDescriptors);
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void ChildProcess::kill()
{
    if (m_pid <= 0)
        return;
    signal(SIGKILL);
    wait();
}

int ChildProcess::wait()
{
    if (m_pid <= 0)
        return m_status;
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return m_status;
}

bool ChildProcess::running()
{
    if (m_pid <= 0)
        return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) == 0)
        return true;
    m_pid = -1;
    m_status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return false;
}

std::size_t ChildProcess::peakMemoryKilobytes() const
{
    // Until it runs its own program, the child's memory is the test's.
    const std::filesystem::path process = "/proc/" + std::to_string(m_pid);
    std::error_code error;
    const auto program = std::filesystem::read_symlink(process / "exe", error);
    if (error || program == std::filesystem::read_symlink("/proc/self/exe", error))
        return 0;
    std::ifstream status(process / "status");
    std::size_t kilobytes = 0;
    for (std::string word; status >> word;) {
        if (word == "VmHWM:")
            status >> kilobytes;
    }
    return kilobytes;
}

std::optional<std::chrono::milliseconds> ChildProcess::processorTime() const
{
    constexpr int fieldsBefore = 11; // Of user time, after the program's name in parentheses.
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int field = 0; field < fieldsBefore; ++field)
        fields >> skipped;
    long user = 0;
    long system = 0;
    if (!(fields >> user >> system))
        return std::nullopt;
    constexpr long millisecondsPerSecond = 1000;
    return std::chrono::milliseconds((user + system) * millisecondsPerSecond
                                     / sysconf(_SC_CLK_TCK));
}

std::size_t ChildProcess::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator first("/proc/" + std::to_string(m_pid) + "/fd",
                                                    error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(first), end(first)));
}

} // namespace burdockhead
