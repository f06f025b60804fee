#pragma once

#include <stdexcept>
#include <string>

namespace burdockhead {

// Thrown for an invalid declaration. The text states the problem and what is allowed.
class DeclarationError : public std::invalid_argument
{
public:
    explicit DeclarationError(const std::string &text)
        : std::invalid_argument(text)
    {}
};

} // namespace burdockhead
