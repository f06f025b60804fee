#include <burdockhead/codec/boundedjson.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>

namespace burdockhead {

namespace {

using Json = nlohmann::json;

constexpr int maxDepth = 64;

// Returns an upper bound of the depth: brackets within strings count too.
int depthBound(std::string_view text)
{
    int depth = 0;
    int deepest = 0;
    for (const char character : text) {
        if (character == '[' || character == '{')
            deepest = std::max(deepest, ++depth);
        else if (character == ']' || character == '}')
            depth = std::max(0, depth - 1);
    }
    return deepest;
}

bool isWithinDepth(int depth, Json::parse_event_t, Json &)
{
    return depth < maxDepth;
}

// Calling back for each value takes time, which few texts need.
Json parse(std::string_view text, bool throws)
{
    return depthBound(text) <= maxDepth ? Json::parse(text, nullptr, throws)
                                        : Json::parse(text, isWithinDepth, throws);
}

} // namespace

nlohmann::json parseBoundedJson(std::string_view text)
{
    return parse(text, true);
}

nlohmann::json parseBoundedJsonOrDiscard(std::string_view text)
{
    return parse(text, false);
}

} // namespace burdockhead
