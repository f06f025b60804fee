#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/configuration/configuration.h>

#include <functional>
#include <optional>
#include <string>

namespace burdockhead {

// Parses a configuration text; returns none and sets the failure if the text is invalid.
using ConfigurationParser =
    std::function<std::optional<Configuration>(const std::string &text, Failure &failure)>;

} // namespace burdockhead
