#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/observe/loglevel.h>
#include <burdockhead/settings/weburl.h>

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

namespace burdockhead {

// Descriptions of the accepted values of the functions below, for diagnostics and key tables.
extern const char *const allowedName;
extern const char *const allowedNameList;
extern const char *const allowedAddress;
extern const char *const allowedAddressList;

// Accepts 1 to 63 letters, digits, '.', '_' and '-', starting with a letter or digit.
bool isValidName(const std::string &text);

// Splits at commas and trims blanks. Keeps empty items; an empty text has none.
std::vector<std::string> splitList(const std::string &text);

// Joins the items with ", ".
std::string joinList(const std::vector<std::string> &items);

// Parses a whole decimal number within inclusive bounds; returns no value on any other text.
std::optional<std::uint64_t> readNumber(const std::string &text, std::uint64_t low,
                                        std::uint64_t high);

// Parses a decimal number such as "0.25" from 0 to high; returns no value on any other text.
std::optional<double> readFraction(const std::string &text, double high);
std::string printFraction(double value);

// readValue() returns false on an invalid value; printValue() gives text that readValue() accepts.
bool readValue(const std::string &text, SocketAddress &value);
bool readValue(const std::string &text, std::vector<SocketAddress> &value);
bool readValue(const std::string &text, WebUrl &value);
bool readValue(const std::string &text, LogLevel &value);
bool readValue(const std::string &text, bool &value);
std::string printValue(const SocketAddress &value);
std::string printValue(const std::vector<SocketAddress> &value);
std::string printValue(const WebUrl &value);
std::string printValue(LogLevel value);
std::string printValue(bool value);
std::string printValue(Milliseconds value);

template <typename Number>
requires(std::is_integral_v<Number> && !std::is_same_v<Number, bool>) std::string
    printValue(Number value)
{
    return std::to_string(value);
}

template <typename Tag>
bool readValue(const std::string &text, Name<Tag> &value)
{
    value = Name<Tag>(text);
    return isValidName(text);
}

template <typename Tag>
std::string printValue(const Name<Tag> &value)
{
    return value.text();
}

// Parses a list of names; empty items and invalid or repeated names are errors.
template <typename Tag>
bool readValue(const std::string &text, std::vector<Name<Tag>> &value)
{
    value.clear();
    for (const std::string &item : splitList(text)) {
        const Name<Tag> name(item);
        for (const Name<Tag> &earlier : value) {
            if (earlier == name)
                return false;
        }
        if (!isValidName(item))
            return false;
        value.push_back(name);
    }
    return true;
}

template <typename Tag>
std::string printValue(const std::vector<Name<Tag>> &value)
{
    std::vector<std::string> items;
    items.reserve(value.size());
    for (const Name<Tag> &name : value)
        items.push_back(name.text());
    return joinList(items);
}

} // namespace burdockhead
