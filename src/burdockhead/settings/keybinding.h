#pragma once

#include <burdockhead/settings/inidocument.h>
#include <burdockhead/settings/keydescription.h>
#include <burdockhead/settings/valuetext.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace burdockhead {

// Binds a key of an INI section to a member of Target: how the value is parsed, printed and
// documented.
template <typename Target>
struct KeyBinding
{
    std::string m_key;
    std::string m_allowed;
    std::string m_meaning;
    bool m_required = false;
    std::function<bool(const std::string &, Target &)> m_read; // Returns false on an invalid value.
    std::function<std::string(const Target &)> m_print;

    // Returns a copy of the binding with the key marked as required.
    KeyBinding required() const
    {
        KeyBinding binding = *this;
        binding.m_required = true;
        return binding;
    }

    // Returns a copy of the binding that keeps the default for an empty value, as a template
    // renders one for which the platform has none.
    KeyBinding orDefault() const
    {
        KeyBinding binding = *this;
        binding.m_allowed += ", or nothing for the default";
        binding.m_read = [read = m_read](const std::string &text, Target &target) {
            return text.empty() || read(text, target);
        };
        return binding;
    }
};

// Binds a member whose type has readValue() and printValue().
template <typename Target, typename Owner, typename Value>
KeyBinding<Target> bindKey(const std::string &key, Value Owner::*member, const std::string &allowed,
                           const std::string &meaning)
{
    return {key,
            allowed,
            meaning,
            false,
            [member](const std::string &text, Target &target) {
                return readValue(text, target.*member);
            },
            [member](const Target &target) { return printValue(target.*member); }};
}

// Binds an integer within inclusive bounds, or a duration in whole milliseconds.
template <typename Target, typename Owner, typename Number>
KeyBinding<Target> bindNumber(const std::string &key, Number Owner::*member, std::uint64_t low,
                              std::uint64_t high, const std::string &meaning)
{
    const std::string allowed =
        "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
    return {key,
            allowed,
            meaning,
            false,
            [member, low, high](const std::string &text, Target &target) {
                const auto number = readNumber(text, low, high);
                if (number)
                    target.*member = Number(*number);
                return number.has_value();
            },
            [member](const Target &target) { return printValue(target.*member); }};
}

// Binds a duration that is written in whole seconds.
template <typename Target, typename Owner>
KeyBinding<Target> bindSeconds(const std::string &key, Milliseconds Owner::*member,
                               std::uint64_t low, std::uint64_t high, const std::string &meaning)
{
    const std::string allowed =
        "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
    return {key,
            allowed,
            meaning,
            false,
            [member, low, high](const std::string &text, Target &target) {
                const auto number = readNumber(text, low, high);
                if (number)
                    target.*member = Seconds(*number);
                return number.has_value();
            },
            [member](const Target &target) {
                return printValue(std::chrono::duration_cast<Seconds>(target.*member).count());
            }};
}

// Binds a duration that is written as a multiple of a unit, with an optional fraction.
template <typename Target, typename Owner>
KeyBinding<Target> bindDuration(const std::string &key, Milliseconds Owner::*member,
                                Milliseconds unit, double low, double high,
                                const std::string &meaning)
{
    return {key,
            "a number from " + printFraction(low) + " to " + printFraction(high),
            meaning,
            false,
            [member, unit, low, high](const std::string &text, Target &target) {
                const auto number = readFraction(text, high);
                if (!number || *number < low)
                    return false;
                target.*member = std::chrono::duration_cast<Milliseconds>(
                    std::chrono::duration<double, std::milli>(*number * unit.count()));
                return true;
            },
            [member, unit](const Target &target) {
                return printFraction(static_cast<double>((target.*member).count())
                                     / static_cast<double>(unit.count()));
            }};
}

// Binds a decimal number from 0 to an inclusive upper bound.
template <typename Target, typename Owner>
KeyBinding<Target> bindFraction(const std::string &key, double Owner::*member, double high,
                                const std::string &meaning)
{
    return {key,
            "a number from 0 to " + printFraction(high),
            meaning,
            false,
            [member, high](const std::string &text, Target &target) {
                const auto number = readFraction(text, high);
                if (number)
                    target.*member = *number;
                return number.has_value();
            },
            [member](const Target &target) { return printFraction(target.*member); }};
}

// Binds a string that is validated by a predicate.
template <typename Target, typename Owner>
KeyBinding<Target> bindText(const std::string &key, std::string Owner::*member,
                            bool (*isAllowed)(const std::string &), const std::string &allowed,
                            const std::string &meaning)
{
    return {key,
            allowed,
            meaning,
            false,
            [member, isAllowed](const std::string &text, Target &target) {
                target.*member = text;
                return isAllowed(text);
            },
            [member](const Target &target) { return target.*member; }};
}

// Binds a flag that is written as one of two words.
template <typename Target, typename Owner>
KeyBinding<Target> bindFlag(const std::string &key, bool Owner::*member, const std::string &on,
                            const std::string &off, const std::string &meaning)
{
    return {key,
            on + " or " + off,
            meaning,
            false,
            [member, on, off](const std::string &text, Target &target) {
                target.*member = text == on;
                return text == on || text == off;
            },
            [member, on, off](const Target &target) { return target.*member ? on : off; }};
}

// Parses a section's entries into the target; adds a diagnostic for each unknown key, invalid
// value and missing required key.
template <typename Target>
void readKeys(const IniSection &section, const std::string &fileName,
              const std::vector<KeyBinding<Target>> &bindings, Target &target,
              Diagnostics &diagnostics)
{
    const auto report = [&](std::size_t line, const std::string &key, const std::string &message,
                            const std::string &allowed) {
        diagnostics.push_back({fileName, line, section.heading(), key, message, allowed});
    };
    std::string knownKeys;
    for (const KeyBinding<Target> &binding : bindings) {
        knownKeys += (knownKeys.empty() ? "" : ", ") + binding.m_key;
        const IniEntry *entry = section.entry(binding.m_key);
        if (entry == nullptr && binding.m_required)
            report(section.m_line, binding.m_key, "the key is missing", binding.m_allowed);
        if (entry != nullptr && !binding.m_read(entry->m_value, target))
            report(entry->m_line, binding.m_key, "bad value '" + entry->m_value + "'",
                   binding.m_allowed);
    }
    for (const IniEntry &entry : section.m_entries) {
        const bool isKnown = std::any_of(bindings.begin(), bindings.end(), [&](const auto &item) {
            return item.m_key == entry.m_key;
        });
        if (!isKnown)
            report(entry.m_line, entry.m_key, "unknown key", knownKeys);
    }
}

// Formats one "KEY = VALUE" line per binding.
template <typename Target>
std::string printKeys(const std::vector<KeyBinding<Target>> &bindings, const Target &target)
{
    std::string text;
    for (const KeyBinding<Target> &binding : bindings) {
        const std::string value = binding.m_print(target);
        text += binding.m_key + (value.empty() ? " =" : " = ") + value + "\n";
    }
    return text;
}

// Appends the descriptions of a section's keys, with default values from a new Target.
template <typename Target>
void describeKeys(const std::string &section, const std::vector<KeyBinding<Target>> &bindings,
                  std::vector<KeyDescription> &descriptions)
{
    const Target defaults;
    for (const KeyBinding<Target> &binding : bindings) {
        const std::string value = binding.m_required ? "" : binding.m_print(defaults);
        const std::string shownDefault = binding.m_required || !value.empty() ? value : "(empty)";
        descriptions.push_back(
            {section, binding.m_key, binding.m_allowed, shownDefault, binding.m_meaning});
    }
}

} // namespace burdockhead
