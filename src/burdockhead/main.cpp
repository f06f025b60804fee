#include <burdockhead/agent/agentprocess.h>
#include <burdockhead/entry/entryprocess.h>
#include <burdockhead/settings/settingstext.h>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace burdockhead;

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 3)
        return 2;
    std::ostringstream text;
    const std::string argument = arguments[2];
    const std::string flag = "--settings=";
    text << std::ifstream(argument.starts_with(flag) ? argument.substr(flag.size()) : argument)
                .rdbuf();
    Diagnostics diagnostics;
    if (std::string(arguments[1]) == "entry") {
        if (const auto settings = parseEntrySettings(text.str(), arguments[2], diagnostics))
            return runEntry(*settings);
    } else if (const auto settings = parseAgentSettings(text.str(), arguments[2], diagnostics)) {
        return runAgent(*settings);
    }
    std::cerr << toString(diagnostics);
    return 3;
}
