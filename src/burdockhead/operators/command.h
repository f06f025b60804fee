#pragma once

#include <burdockhead/operators/commandcontext.h>

#include <cstddef>
#include <functional>
#include <vector>

namespace burdockhead {

// A subcommand of the program and the flags and arguments that it accepts.
struct Command
{
    const char *m_name;
    const char *m_argumentHelp; // For example "FILE..."; may be empty.
    const char *m_help;
    std::vector<const char *> m_flags;
    std::size_t m_minArguments = 0;
    std::size_t m_maxArguments = 0;
    std::function<int(CommandContext &)> m_run; // Returns the exit status.
};

} // namespace burdockhead
