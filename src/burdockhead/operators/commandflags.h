#pragma once

#include <burdockhead/operators/commandoptions.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// The arguments of a command line after its flags were set.
using Arguments = std::vector<std::string>;

// Sets the flags among the arguments, "--name=value", "--name value", "--name" or
// "--noname", and returns the other arguments. Only the listed flags are allowed. None,
// with one line in the error, on an unknown flag or a bad value.
std::optional<Arguments> setFlags(const Arguments &arguments,
                                  const std::vector<const char *> &allowedFlags,
                                  std::string &error);

// Reads all flags. None, with one line in the error, when a value is not allowed.
std::optional<CommandOptions> readCommandOptions(std::string &error);

// One line of help for a flag.
std::string flagHelp(std::string_view name);

} // namespace burdockhead
