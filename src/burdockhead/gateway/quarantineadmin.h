#pragma once

#include <burdockhead/net/httpexchange.h>
#include <burdockhead/quarantine/promptguard.h>

#include <string>

namespace burdockhead {

// Paths on a gateway's metrics address: GET lists the quarantines and suspects, POST lifts the
// quarantine of the part that the body names.
constexpr const char *quarantinesPath = "/quarantines";
constexpr const char *liftQuarantinePath = "/quarantines/lift";

// Returns the body of a request to lift a quarantine.
std::string liftQuarantineBody(const PromptPart &part);

// Handles a request to one of the paths; false for any other.
bool handleQuarantineRequest(PromptGuard &promptGuard, HttpExchange &exchange, TimePoint now);

} // namespace burdockhead
