#pragma once

namespace burdockhead {

// What is known about whether a request reached its endpoint.
enum class RunState {
    NotRun,  // It did not run and no late copy can.
    Ran,     // It ran to an end.
    Unknown, // It may have run; it will not be repeated.
};

// The state as it stands in error bodies: "not_run", "ran" or "unknown".
const char *toString(RunState state);

} // namespace burdockhead
