#pragma once

#include <burdockhead/operators/commandline.h>
#include <burdockhead/operators/exitcode.h>

#include <absl/flags/reflection.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace burdockhead {

// The exit status and output of a command.
struct CommandRun
{
    int m_status = 0;
    std::string m_out;
    std::string m_err;
};

// The port of the settings that the last process command was run with.
inline int lastProcessPort = 0;

// Runs a command in this process and restores the flags to their defaults afterwards.
inline CommandRun runProgram(const Arguments &arguments, const std::string &input = "")
{
    const ProcessRunners runners = {
        [](const EntrySettings &settings) {
            lastProcessPort = settings.m_callers.m_port;
            return 0;
        },
        [](const AgentSettings &settings) {
            lastProcessPort = settings.m_link.m_port;
            return 0;
        },
        [](const GatewaySettings &settings, const ReadGatewaySettings &) {
            lastProcessPort = settings.m_clients.m_port;
            return 0;
        },
        [](const RankAgentSettings &settings) {
            lastProcessPort = settings.m_agents.m_port;
            return 0;
        }};
    const absl::FlagSaver savedFlags;
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const int status = runCommandLine(programCommands(runners), arguments, in, out, err);
    return {status, out.str(), err.str()};
}

// A temporary file with a given text, removed by the destructor.
class ScopedFile
{
public:
    explicit ScopedFile(const std::string &text)
        : m_name(std::filesystem::temp_directory_path()
                 / ("operators-test-" + std::to_string(getpid()) + "-"
                    + std::to_string(nextNumber()) + ".ini"))
    {
        std::ofstream(m_name) << text;
    }
    ~ScopedFile() { unlink(m_name.c_str()); }
    ScopedFile(const ScopedFile &) = delete;
    ScopedFile &operator=(const ScopedFile &) = delete;

    const std::string &name() const { return m_name; }

private:
    static int nextNumber()
    {
        static int number = 0;
        return ++number;
    }

    const std::string m_name;
};

} // namespace burdockhead
