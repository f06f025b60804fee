#pragma once

#include <burdockhead/observe/logrecord.h>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// Reads the records of process logs, in the order of files and lines; lines of other programs are
// skipped. Returns none and writes a line to `err` if a file can't be read.
std::optional<std::vector<LogRecord>> readLogFiles(const std::vector<std::string> &fileNames,
                                                   std::ostream &err);

} // namespace burdockhead
