#include <burdockhead/operators/logfiles.h>
#include <burdockhead/operators/textfile.h>

#include <ostream>
#include <sstream>

namespace burdockhead {

std::optional<std::vector<LogRecord>> readLogFiles(const std::vector<std::string> &fileNames,
                                                   std::ostream &err)
{
    std::vector<LogRecord> records;
    for (const std::string &fileName : fileNames) {
        const auto text = readTextFile(fileName);
        if (!text) {
            err << fileName << ": cannot read the file\n";
            return std::nullopt;
        }
        std::istringstream lines(*text);
        for (std::string line; std::getline(lines, line);) {
            if (auto record = readLogRecord(line))
                records.push_back(std::move(*record));
        }
    }
    return records;
}

} // namespace burdockhead
