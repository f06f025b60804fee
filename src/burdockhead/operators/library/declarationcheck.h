#pragma once

#include <burdockhead/declarations.h>

#include <cstdint>
#include <string>
#include <vector>

namespace burdockhead::declare {

// Throws a DeclarationError: "PLACE: PROBLEM; allowed: ALLOWED".
[[noreturn]] void refuse(const std::string &place, const std::string &problem,
                         const std::string &allowed);

// Each throws a DeclarationError that names the place when the value is not allowed.
void requireName(const std::string &place, const std::string &name);
void requireNames(const std::string &place, const std::vector<std::string> &names);
void requireRange(const std::string &place, const std::string &member, std::uint64_t value,
                  std::uint64_t low, std::uint64_t high);
void requireLimits(const std::string &place, const Limits &limits);

} // namespace burdockhead::declare
