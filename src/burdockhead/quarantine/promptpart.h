#pragma once

#include <burdockhead/base/name.h>

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// A part of a prompt that requests of a service share, such as a document or a system prompt; or a
// whole request (see requestfingerprint.h).
struct PromptPart
{
    GroupName m_service;
    std::string m_id; // As callers name it; a long identifier is replaced by its hash.

    friend bool operator==(const PromptPart &, const PromptPart &) = default;
    friend std::strong_ordering operator<=>(const PromptPart &, const PromptPart &) = default;
};

using PromptParts = std::vector<PromptPart>;

// How the identifier of a whole request begins.
constexpr char requestIdPrefix = '=';

// Parts of one prompt that are told apart. A client chooses how many a request names, and each
// costs time and memory for as long as the request is in work.
constexpr std::size_t maxPromptParts = 64;

// Returns the first parts with these identifiers, without duplicates. None can be taken for a
// request.
PromptParts makePromptParts(const GroupName &service, const std::vector<std::string> &ids);

} // namespace burdockhead
