#pragma once

namespace burdockhead {

// What the program's exit status tells.
enum ExitCode : int {
    ExitOk = 0,
    ExitFailed = 1,               // For any other reason.
    ExitUsage = 2,                // Unknown command, flag or argument.
    ExitInvalidConfiguration = 3, // A settings file or configuration has errors.
    ExitConflict = 4,             // Somebody else changed the configuration.
    ExitUnreachable = 5,          // No entry answered, or the platform did not.
};

} // namespace burdockhead
