#include <burdockhead/operators/checkcommand.h>
#include <burdockhead/operators/exitcode.h>
#include <burdockhead/operators/textfile.h>
#include <burdockhead/settings/configurationtext.h>
#include <burdockhead/settings/inidocument.h>
#include <burdockhead/settings/settingstext.h>

#include <algorithm>
#include <ostream>

namespace burdockhead {

namespace {

bool hasSection(const IniDocument &document, const std::string &heading)
{
    return std::any_of(document.m_sections.begin(), document.m_sections.end(),
                       [&](const IniSection &section) { return section.heading() == heading; });
}

// Parses a text as the type of file that its sections indicate and returns that type.
const char *parseByType(const std::string &text, const std::string &fileName,
                        Diagnostics &diagnostics)
{
    Diagnostics ignoredDiagnostics;
    const IniDocument document = readIniDocument(text, fileName, ignoredDiagnostics);
    if (!hasSection(document, "process")) {
        parseConfiguration(text, fileName, diagnostics);
        return "configuration";
    }
    if (hasSection(document, "store") && hasSection(document, "endpoint")) {
        parseRankAgentSettings(text, fileName, diagnostics);
        return "settings of a rank's agent";
    }
    if (hasSection(document, "store")) {
        parseGatewaySettings(text, fileName, diagnostics);
        return "settings of a gateway";
    }
    if (hasSection(document, "endpoint")) {
        parseAgentSettings(text, fileName, diagnostics);
        return "settings of an agent";
    }
    parseEntrySettings(text, fileName, diagnostics);
    return "settings of an entry";
}

} // namespace

int runCheckCommand(CommandContext &context)
{
    int status = ExitOk;
    for (const std::string &fileName : context.m_arguments) {
        const auto text = readTextFile(fileName);
        if (!text) {
            context.m_err << fileName << ": cannot read the file\n";
            return ExitFailed;
        }
        Diagnostics diagnostics;
        const char *fileType = parseByType(*text, fileName, diagnostics);
        if (diagnostics.empty()) {
            context.m_out << fileName << ": " << fileType << ", no errors\n";
            continue;
        }
        context.m_err << toString(diagnostics);
        status = ExitInvalidConfiguration;
    }
    return status;
}

} // namespace burdockhead
