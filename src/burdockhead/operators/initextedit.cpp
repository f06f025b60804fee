#include <burdockhead/operators/initextedit.h>
#include <burdockhead/settings/inidocument.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Returns the offset at which a line starts. Lines are counted from 1.
std::size_t lineStart(const std::string &text, std::size_t line)
{
    std::size_t start = 0;
    for (; line > 1 && start < text.size(); --line)
        start = std::min(text.find('\n', start), text.size() - 1) + 1;
    return start;
}

std::string insertLine(std::string text, std::size_t start, const std::string &line)
{
    const bool isAfterUnterminatedLine = start > 0 && start == text.size() && text.back() != '\n';
    return text.insert(start, (isAfterUnterminatedLine ? "\n" : "") + line + "\n");
}

// Returns the comment after a value, including the preceding space; may be empty.
std::string trailingComment(const std::string &line)
{
    const std::size_t start = line.find(" ;");
    return start == std::string::npos ? "" : line.substr(start);
}

} // namespace

std::optional<std::string> setIniValue(const std::string &text, const std::string &heading,
                                       const std::string &key, const std::string &value)
{
    Diagnostics ignoredDiagnostics;
    const IniDocument document = readIniDocument(text, "", ignoredDiagnostics);
    const auto section =
        std::find_if(document.m_sections.begin(), document.m_sections.end(),
                     [&](const IniSection &candidate) { return candidate.heading() == heading; });
    if (section == document.m_sections.end())
        return std::nullopt;
    const std::string newLine = key + " = " + value;
    const IniEntry *entry = section->entry(key);
    if (entry == nullptr)
        return insertLine(text, lineStart(text, section->m_line + 1), newLine);
    const std::size_t start = lineStart(text, entry->m_line);
    const std::size_t end = std::min(text.find('\n', start), text.size());
    const std::string comment = trailingComment(text.substr(start, end - start));
    std::string edited = text;
    return edited.replace(start, end - start, newLine + comment);
}

} // namespace burdockhead
