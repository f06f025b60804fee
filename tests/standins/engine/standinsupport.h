#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/http/httprequest.h>
#include <burdockhead/http/httpresponder.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

using Json = nlohmann::json;

// Parses the command line; hyphens in flag names are read as underscores.
void parseStandinFlags(int argc, char **argv);

// The addresses of a comma-separated list; none when one of them is malformed.
std::optional<std::vector<SocketAddress>> parseAddresses(const std::string &list);

// Blocks SIGINT and SIGTERM in this thread and those started later; call first in main.
void blockTermination();

// Waits for SIGINT or SIGTERM.
void awaitTermination();

// Breaks every connection accepted on the port, as the end of the process would.
void dropConnections(std::uint16_t port);

// Sends a response whose body violates HTTP, so that the caller gets no whole answer.
void sendGarbage(HttpResponder &responder);

// Sends a JSON body with the boot id in its header.
void sendJson(HttpResponder &responder, int status, std::uint64_t bootId, const Json &body);

// The request's body as JSON; an empty object when it is empty, none when it is malformed.
std::optional<Json> readJson(const HttpRequest &request);

// A 64-bit hash as hexadecimal digits.
std::string hashText(std::uint64_t hash);

} // namespace burdockhead
