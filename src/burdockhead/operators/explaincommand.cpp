#include <burdockhead/operators/exitcode.h>
#include <burdockhead/operators/explaincommand.h>
#include <burdockhead/operators/requestexplanation.h>
#include <burdockhead/operators/textfile.h>

#include <ostream>
#include <sstream>

namespace burdockhead {

int runExplainCommand(CommandContext &context)
{
    std::vector<LogRecord> records;
    for (std::size_t index = 1; index < context.m_arguments.size(); ++index) {
        const std::string &fileName = context.m_arguments[index];
        const auto text = readTextFile(fileName);
        if (!text) {
            context.m_err << fileName << ": cannot read the file\n";
            return ExitFailed;
        }
        std::istringstream lines(*text);
        for (std::string line; std::getline(lines, line);) {
            if (auto record = readLogRecord(line))
                records.push_back(std::move(*record));
        }
    }
    const RequestExplanation explanation(records, context.m_arguments.front());
    context.m_out << explanation.toText();
    return explanation.isFound() ? ExitOk : ExitFailed;
}

} // namespace burdockhead
