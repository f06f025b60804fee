#pragma once

#include <burdockhead/operators/commandoptions.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// Arguments of a command line.
using Arguments = std::vector<std::string>;

// Parses the flags "--name=value", "--name value", "--name" and "--noname" into their global
// values and returns the positional arguments. Only the listed flags are allowed. Returns
// none and sets a one-line error on an unknown flag or a bad value.
std::optional<Arguments> parseFlags(const Arguments &arguments,
                                    const std::vector<const char *> &allowedFlags,
                                    std::string &error);

// Validates the global flag values. Returns none and sets a one-line error when a value is
// not allowed.
std::optional<CommandOptions> readCommandOptions(std::string &error);

// Returns the help line of a flag; empty for an unknown flag.
std::string flagHelp(std::string_view name);

} // namespace burdockhead
