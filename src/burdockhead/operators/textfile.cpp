#include <burdockhead/operators/textfile.h>

#include <fstream>
#include <iterator>

namespace burdockhead {

std::optional<std::string> readTextFile(const std::string &fileName)
{
    std::ifstream file(fileName, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (file.bad())
        return std::nullopt;
    return text;
}

} // namespace burdockhead
