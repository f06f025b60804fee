#include <burdockhead/operators/exitcode.h>
#include <burdockhead/operators/explaincommand.h>
#include <burdockhead/operators/logfiles.h>
#include <burdockhead/operators/requestexplanation.h>

#include <ostream>

namespace burdockhead {

int runExplainCommand(CommandContext &context)
{
    const Arguments fileNames(context.m_arguments.begin() + 1, context.m_arguments.end());
    const auto records = readLogFiles(fileNames, context.m_err);
    if (!records)
        return ExitFailed;
    const RequestExplanation explanation(*records, context.m_arguments.front());
    context.m_out << explanation.toText();
    return explanation.isFound() ? ExitOk : ExitFailed;
}

} // namespace burdockhead
