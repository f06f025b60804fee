#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/base/name.h>

#include <string>

namespace burdockhead {

// The one run of an agent that may hand a key's request to its endpoint.
struct Binding
{
    EndpointName m_endpoint;
    Incarnation m_incarnation;

    friend bool operator==(const Binding &, const Binding &) = default;
};

// A wish to bind a key. The first one written wins; later ones learn of it. With an empty
// endpoint it only asks: the answer is the key's binding, or none if nobody has bound it.
struct Claim
{
    std::string m_key; // Workspace and caller's key.
    Binding m_wanted;

    friend bool operator==(const Claim &, const Claim &) = default;
};

} // namespace burdockhead
