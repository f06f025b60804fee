#include <burdockhead/declarationerror.h>
#include <burdockhead/operators/library/declarationcheck.h>

#include <algorithm>

namespace burdockhead::declare {

namespace {

constexpr std::size_t maxNameLength = 63;
constexpr std::size_t maxListLength = 500; // Keeps a list within one line of INI text.
constexpr std::uint64_t maxRequests = 100000;

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

void refuse(const std::string &place, const std::string &problem, const std::string &allowed)
{
    std::string text = place;
    text += ": ";
    text += problem;
    text += "; allowed: ";
    text += allowed;
    throw DeclarationError(text);
}

void requireName(const std::string &place, const std::string &name)
{
    const bool isValid = !name.empty() && name.size() <= maxNameLength
                         && isLetterOrDigit(name.front())
                         && std::all_of(name.begin(), name.end(), isNameCharacter);
    if (!isValid)
        refuse(place, "bad name '" + name + "'",
               "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit");
}

void requireNames(const std::string &place, const std::vector<std::string> &names)
{
    requireRange(place, "number of names", names.size(), 0, maxListLength);
    for (const std::string &name : names) {
        requireName(place, name);
        if (std::count(names.begin(), names.end(), name) > 1)
            refuse(place, "'" + name + "' is listed twice", "once");
    }
}

void requireRange(const std::string &place, const std::string &member, std::uint64_t value,
                  std::uint64_t low, std::uint64_t high)
{
    if (value < low || value > high)
        refuse(place, member + " is " + std::to_string(value),
               std::to_string(low) + " to " + std::to_string(high));
}

void requireLimits(const std::string &place, const Limits &limits)
{
    requireRange(place, "warm limit", limits.m_warm, 1, maxRequests);
    requireRange(place, "cold limit", limits.m_cold, 0, limits.m_warm);
    requireRange(place, "queue limit", limits.m_queue, 0, maxRequests);
}

} // namespace burdockhead::declare
