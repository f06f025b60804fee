#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/base/name.h>

#include <string>

namespace burdockhead {

// The only incarnation of an agent that may forward a key's request to its endpoint.
struct Binding
{
    EndpointName m_endpoint;
    Incarnation m_incarnation;

    friend bool operator==(const Binding &, const Binding &) = default;
};

// A request to bind an idempotency key. The first one written wins, and later ones get its binding.
// With an empty endpoint it is a look-up: the result is the key's binding, or none if unbound.
struct Claim
{
    std::string m_key; // Workspace and the caller's key.
    Binding m_proposedBinding;

    friend bool operator==(const Claim &, const Claim &) = default;
};

} // namespace burdockhead
