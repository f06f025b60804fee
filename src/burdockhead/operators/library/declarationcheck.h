#pragma once

#include <burdockhead/declarations.h>

#include <cstdint>
#include <string>
#include <vector>

namespace burdockhead::declare {

// Throws a DeclarationError with the text "DECLARATION: PROBLEM; allowed: ALLOWED".
[[noreturn]] void throwDeclarationError(const std::string &declaration, const std::string &problem,
                                        const std::string &allowed);

// These functions throw a DeclarationError that names the declaration when the value is not
// allowed.
void requireName(const std::string &declaration, const std::string &name);
void requireNames(const std::string &declaration, const std::vector<std::string> &names);
void requireRange(const std::string &declaration, const std::string &field, std::uint64_t value,
                  std::uint64_t low, std::uint64_t high);
void requireLimits(const std::string &declaration, const Limits &limits);

} // namespace burdockhead::declare
