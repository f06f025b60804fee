#pragma once

#include <burdockhead/operators/commandflags.h>

#include <iosfwd>

namespace burdockhead {

// The parsed flags and arguments of a command, and its input and output streams.
struct CommandContext
{
    CommandOptions m_options;
    Arguments m_arguments;
    std::istream &m_in;
    std::ostream &m_out;
    std::ostream &m_err;
};

} // namespace burdockhead
