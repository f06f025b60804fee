#include <burdockhead/codec/jsonslices.h>

#include <algorithm>
#include <cstddef>
#include <string>

namespace burdockhead {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

void skipWhitespace(std::string_view &text)
{
    const std::size_t first = text.find_first_not_of(whitespace);
    text.remove_prefix(first == std::string_view::npos ? text.size() : first);
}

// Removes a character and the white space around it from the front; false if another one is there.
bool skipCharacter(std::string_view &text, char character)
{
    skipWhitespace(text);
    if (text.empty() || text.front() != character)
        return false;
    text.remove_prefix(1);
    skipWhitespace(text);
    return true;
}

// Returns the length of the string that the text begins with, with its quotes; 0 if it isn't
// closed.
std::size_t stringLength(std::string_view text)
{
    for (std::size_t index = 1; index < text.size(); ++index) {
        if (text[index] == '\\')
            ++index;
        else if (text[index] == '"')
            return index + 1;
    }
    return 0;
}

std::size_t bracketedLength(std::string_view text)
{
    std::string open;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (character == '"') {
            const std::size_t length = stringLength(text.substr(index));
            if (length == 0)
                return 0;
            index += length - 1;
        } else if (character == '{' || character == '[') {
            open.push_back(character == '{' ? '}' : ']');
        } else if (character == '}' || character == ']') {
            if (open.empty() || open.back() != character)
                return 0;
            open.pop_back();
            if (open.empty())
                return index + 1;
        }
    }
    return 0;
}

// Removes the value that the text begins with from its front, and returns it.
std::optional<std::string_view> takeValue(std::string_view &text)
{
    const std::size_t length = jsonValueLength(text);
    if (length == 0)
        return std::nullopt;
    const std::string_view value = text.substr(0, length);
    text.remove_prefix(length);
    return value;
}

} // namespace

std::size_t jsonValueLength(std::string_view text)
{
    if (text.empty())
        return 0;
    if (text.front() == '"')
        return stringLength(text);
    if (text.front() == '{' || text.front() == '[')
        return bracketedLength(text);
    constexpr std::string_view ends = ",:]}\" \t\r\n";
    return std::min(text.find_first_of(ends), text.size());
}

std::optional<JsonMembers> splitJsonObject(std::string_view text)
{
    JsonMembers members;
    if (!skipCharacter(text, '{'))
        return std::nullopt;
    while (!skipCharacter(text, '}')) {
        if (!members.empty() && !skipCharacter(text, ','))
            return std::nullopt;
        if (text.empty() || text.front() != '"')
            return std::nullopt;
        const auto name = takeValue(text);
        if (!name || !skipCharacter(text, ':'))
            return std::nullopt;
        const auto value = takeValue(text);
        if (!value)
            return std::nullopt;
        members.emplace_back(name->substr(1, name->size() - 2), *value);
    }
    return text.empty() ? std::optional(members) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    std::vector<std::string_view> elements;
    if (!skipCharacter(text, '['))
        return std::nullopt;
    while (!skipCharacter(text, ']')) {
        if (!elements.empty() && !skipCharacter(text, ','))
            return std::nullopt;
        const auto element = takeValue(text);
        if (!element)
            return std::nullopt;
        elements.push_back(*element);
    }
    return text.empty() ? std::optional(elements) : std::nullopt;
}

std::string_view findJsonMember(const JsonMembers &members, std::string_view name)
{
    for (const auto &[key, value] : members) {
        if (key == name)
            return value;
    }
    return {};
}

} // namespace burdockhead
