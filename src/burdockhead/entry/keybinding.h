#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/base/name.h>

#include <compare>

namespace burdockhead {

// The one run of one agent that may run the request of an idempotency key.
struct KeyBinding
{
    EndpointName m_endpoint;
    Incarnation m_incarnation;

    friend auto operator<=>(const KeyBinding &, const KeyBinding &) = default;
};

} // namespace burdockhead
