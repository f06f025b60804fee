#include <burdockhead/declarationerror.h>
#include <burdockhead/operators/library/declarationcheck.h>

#include <algorithm>

namespace burdockhead::declare {

namespace {

constexpr std::size_t maxNameLength = 63;
constexpr std::size_t maxNameCount = 500; // A list must fit on one line of INI text.
constexpr std::uint64_t maxRequestLimit = 100000;

bool isLetterOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9');
}

bool isNameCharacter(char character)
{
    return isLetterOrDigit(character) || character == '.' || character == '_' || character == '-';
}

} // namespace

void throwDeclarationError(const std::string &declaration, const std::string &problem,
                           const std::string &allowed)
{
    std::string text = declaration;
    text += ": ";
    text += problem;
    text += "; allowed: ";
    text += allowed;
    throw DeclarationError(text);
}

void requireName(const std::string &declaration, const std::string &name)
{
    const bool isValid = !name.empty() && name.size() <= maxNameLength
                         && isLetterOrDigit(name.front())
                         && std::all_of(name.begin(), name.end(), isNameCharacter);
    if (!isValid)
        throwDeclarationError(
            declaration, "bad name '" + name + "'",
            "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit");
}

void requireNames(const std::string &declaration, const std::vector<std::string> &names)
{
    requireRange(declaration, "number of names", names.size(), 0, maxNameCount);
    for (const std::string &name : names) {
        requireName(declaration, name);
        if (std::count(names.begin(), names.end(), name) > 1)
            throwDeclarationError(declaration, "'" + name + "' is listed twice", "once");
    }
}

void requireRange(const std::string &declaration, const std::string &field, std::uint64_t value,
                  std::uint64_t low, std::uint64_t high)
{
    if (value < low || value > high)
        throwDeclarationError(declaration, field + " is " + std::to_string(value),
                              std::to_string(low) + " to " + std::to_string(high));
}

void requireLimits(const std::string &declaration, const Limits &limits)
{
    requireRange(declaration, "warm limit", limits.m_warm, 1, maxRequestLimit);
    requireRange(declaration, "cold limit", limits.m_cold, 0, limits.m_warm);
    requireRange(declaration, "queue limit", limits.m_queue, 0, maxRequestLimit);
}

} // namespace burdockhead::declare
