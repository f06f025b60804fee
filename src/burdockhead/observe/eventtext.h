#pragma once

#include <burdockhead/observe/event.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// Formats an event as one line of JSON without the line end.
std::string toJsonLine(const Event &event);

// Parses a line written by toJsonLine(); returns no value on any other text.
std::optional<Event> eventFromJsonLine(std::string_view line);

// Formats events as JSON lines, each with a line end.
std::string toJsonLines(const std::vector<Event> &events);

// Parses JSON lines; returns no value if any line is invalid.
std::optional<std::vector<Event>> eventsFromJsonLines(std::string_view text);

// Formats an event as a human-readable line.
std::string toText(const Event &event);

// Merges the events of several processes in causal order: by hybrid time, then by process.
std::vector<Event> mergeEvents(const std::vector<std::vector<Event>> &lists);

} // namespace burdockhead
