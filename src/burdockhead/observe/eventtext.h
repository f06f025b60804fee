#pragma once

#include <burdockhead/observe/event.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// An event as one line of JSON, without a line end.
std::string toJsonLine(const Event &event);

// Reads a line that toJsonLine gives; none on any other text.
std::optional<Event> eventFromJsonLine(std::string_view line);

// Events as JSON lines, each with its line end.
std::string toJsonLines(const std::vector<Event> &events);

// Reads JSON lines; none when one of them is bad.
std::optional<std::vector<Event>> eventsFromJsonLines(std::string_view text);

// An event as a line for a person.
std::string toText(const Event &event);

// The events of several processes in causal order: by hybrid time, then by process.
std::vector<Event> mergeEvents(const std::vector<std::vector<Event>> &lists);

} // namespace burdockhead
