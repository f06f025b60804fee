#pragma once

#include <burdockhead/idempotency/attemptid.h>

#include <string>

namespace burdockhead {

// Agent to entry: a piece of the answer's body.
struct DataFrame
{
    AttemptId m_attempt;
    std::uint64_t m_offset = 0; // Of the first byte in the body.
    std::string m_data;

    friend bool operator==(const DataFrame &, const DataFrame &) = default;
};

} // namespace burdockhead
