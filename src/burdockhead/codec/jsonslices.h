#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockhead {

// The texts of a JSON object's members: each name without its quotes, and its value.
using JsonMembers = std::vector<std::pair<std::string_view, std::string_view>>;

// Split the text of an object or an array into those of its parts. Only strings and brackets are
// followed, so that a part that can't be parsed doesn't spoil the others: it may hold bytes that
// are no UTF-8, numbers of any size and any depth. None if the text is no object, or no array,
// whose strings and brackets are closed.
std::optional<JsonMembers> splitJsonObject(std::string_view text);
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

// Returns the value of the first member of that name; empty if there is none.
std::string_view findJsonMember(const JsonMembers &members, std::string_view name);

// Returns the length of the value that the text begins with; 0 if it isn't closed.
std::size_t jsonValueLength(std::string_view text);

} // namespace burdockhead
