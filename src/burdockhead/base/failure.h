#pragma once

#include <burdockhead/base/errorkind.h>

#include <string>

namespace burdockhead {

// Why an operation that returned no value failed. Functions that can fail return a
// std::optional and leave this as the last reason.
struct Failure
{
    ErrorKind m_kind = ErrorKind::Internal;
    std::string m_reason;

    friend bool operator==(const Failure &, const Failure &) = default;
};

} // namespace burdockhead
