#pragma once

namespace burdockhead {

// Exit status of the program.
enum ExitCode : int {
    ExitOk = 0,
    ExitFailed = 1,               // Any other failure.
    ExitUsage = 2,                // Unknown command, flag or argument.
    ExitInvalidConfiguration = 3, // A settings file or configuration has errors.
    ExitConflict = 4,             // The configuration was changed concurrently.
    ExitUnreachable = 5,          // No entry responded, or the platform did not.
};

} // namespace burdockhead
