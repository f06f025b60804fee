#include <burdockhead/rankagent/rankorder.h>

#include <array>

namespace burdockhead {

const char *toString(RankOrderType type)
{
    constexpr std::array<const char *, 5> names = {"prepare", "arm", "disarm", "hold", "go"};
    return names.at(static_cast<std::size_t>(type));
}

} // namespace burdockhead
