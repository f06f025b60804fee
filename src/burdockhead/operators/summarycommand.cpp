#include <burdockhead/operators/exitcode.h>
#include <burdockhead/operators/logfiles.h>
#include <burdockhead/operators/outcomesummary.h>
#include <burdockhead/operators/summarycommand.h>

#include <ostream>

namespace burdockhead {

int runSummaryCommand(CommandContext &context)
{
    const auto records = readLogFiles(context.m_arguments, context.m_err);
    if (!records)
        return ExitFailed;
    const OutcomeSummary summary(*records, context.m_options.m_objectives);
    context.m_out << (context.m_options.m_svg ? summary.toSvg() : summary.toText());
    return ExitOk;
}

} // namespace burdockhead
