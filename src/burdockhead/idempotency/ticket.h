#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/base/name.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// An idempotency key issued by an entry that itself names the only incarnation of an agent that may
// run the request, so using it needs no write to the platform.
struct Ticket
{
    EndpointName m_endpoint;
    Incarnation m_incarnation;
    std::uint64_t m_issuer = 0; // The issuing entry, as in its attempt ids.
    std::uint64_t m_number = 0; // Incremented by the issuer for each ticket, from 1.

    // Parses the form that toString() returns; none on any other text.
    static std::optional<Ticket> parse(std::string_view text);

    // Returns true if the text starts with the ticket prefix, well-formed or not.
    static bool hasTicketPrefix(std::string_view text);

    // Returns the ticket as "tk1.ENDPOINT.INCARNATION.ISSUER.NUMBER.CHECKSUM", numbers in
    // hexadecimal.
    std::string toString() const;

    friend bool operator==(const Ticket &, const Ticket &) = default;
};

} // namespace burdockhead
