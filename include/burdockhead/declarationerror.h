#pragma once

#include <stdexcept>
#include <string>

namespace burdockhead {

// Thrown by a declaration that can't be right; the text says what is wrong and what is
// allowed.
class DeclarationError : public std::invalid_argument
{
public:
    explicit DeclarationError(const std::string &text)
        : std::invalid_argument(text)
    {}
};

} // namespace burdockhead
