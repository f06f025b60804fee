#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/base/name.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// An idempotency key that an entry mints and that itself names the run of the agent which
// alone may run the request. Its use needs no write to the platform.
struct Ticket
{
    EndpointName m_endpoint;
    Incarnation m_incarnation;
    std::uint64_t m_issuer = 0; // The minting entry's, as in its attempts' ids.
    std::uint64_t m_number = 0; // Grows with each ticket that the issuer mints, from 1.

    // Reads what toString() gives; none on any other text.
    static std::optional<Ticket> parse(std::string_view text);

    // True when the text claims to be a ticket, well formed or not.
    static bool hasTicketPrefix(std::string_view text);

    // The ticket as "tk1.ENDPOINT.INCARNATION.ISSUER.NUMBER.CHECKSUM", numbers in
    // hexadecimal.
    std::string toString() const;

    friend bool operator==(const Ticket &, const Ticket &) = default;
};

} // namespace burdockhead
