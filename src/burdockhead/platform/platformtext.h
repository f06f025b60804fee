#pragma once

#include <burdockhead/platform/platformobject.h>
#include <burdockhead/platform/vm.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// The JSON that the platform's HTTP interface speaks. Reading returns none on text that is
// malformed or lacks a field.

// An object's version and value. A value that is not UTF-8 travels as hexadecimal digits.
std::string writeObjectJson(std::uint64_t version, const std::string &value);
std::optional<PlatformObject> readObjectJson(const std::string &text);

// The answer to a write.
std::string writeVersionJson(std::uint64_t version);
std::optional<std::uint64_t> readVersionJson(const std::string &text);

// The list of VMs.
std::string writeVmsJson(const std::vector<Vm> &vms);
std::optional<std::vector<Vm>> readVmsJson(const std::string &text);

// Escapes a kind or name for use as one segment of a path, and back.
std::string escapePathSegment(std::string_view text);
std::string unescapePathSegment(std::string_view text);

} // namespace burdockhead
