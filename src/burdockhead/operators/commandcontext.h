#pragma once

#include <burdockhead/operators/commandflags.h>

#include <iosfwd>

namespace burdockhead {

// What a command is run with: its flags and arguments, and the streams it talks through.
struct CommandContext
{
    CommandOptions m_options;
    Arguments m_arguments;
    std::istream &m_in;
    std::ostream &m_out;
    std::ostream &m_err;
};

} // namespace burdockhead
