#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/configuration/configuration.h>

#include <functional>
#include <optional>
#include <string>

namespace burdockhead {

// Reads a configuration from its text; none when it is not valid, and the failure says why.
using ConfigurationParser =
    std::function<std::optional<Configuration>(const std::string &text, Failure &failure)>;

} // namespace burdockhead
