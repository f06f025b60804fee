#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/http/httpclient.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// The configuration in force as reported by an entry. Version 0 means that there is none yet.
struct ConfigurationState
{
    std::uint64_t m_version = 0;
    std::string m_text;
};

// Blocking client that reads and changes the configuration through the operator address of an
// entry.
class ConfigurationClient
{
public:
    // Entries are tried in order until one responds. The timeout applies to each call.
    ConfigurationClient(std::vector<SocketAddress> entries, Milliseconds timeout);

    // Returns the configuration in force, or none and the failure when no entry returns it.
    std::optional<ConfigurationState> read(Failure &failure);

    // Applies a text if baseVersion is still in force and returns the new version. Requires a
    // previous read and sends the change to the entry that responded to it. A change whose
    // response is lost is never resent: the configuration is read back. Returns none and the
    // failure: ConfigurationConflict after a concurrent change, ConfigurationInvalid when
    // the entry rejects the text, OutcomeUnknown when it cannot be determined whether the
    // text is in force.
    std::optional<std::uint64_t> write(std::uint64_t baseVersion, const std::string &text,
                                       Failure &failure);

    // Returns the configuration in force after a conflict: the one reported with the conflict,
    // otherwise the one read now.
    std::optional<ConfigurationState> readAfterConflict(Failure &failure);

    // Sends a GET request to the entries in order and returns the first response whose status is
    // below 500; if all responses are server errors, the last one. Returns none and the failure
    // when no entry responds.
    std::optional<HttpResponse> get(const std::string &path, Failure &failure);

private:
    // Sends a change to the entry that responded to the last read, without retrying it.
    std::optional<HttpResponse> put(std::uint64_t baseVersion, const std::string &text,
                                    Failure &failure);
    // Determines the outcome of a change whose response was lost by reading the configuration.
    std::optional<std::uint64_t> readBack(std::uint64_t baseVersion, const std::string &text,
                                          Failure &failure);
    HttpClientCall makeCall(const SocketAddress &entry, const std::string &path) const;

    const std::vector<SocketAddress> m_entries;
    const Milliseconds m_timeout;
    SocketAddress m_lastResponder; // The entry that responded to the last read.
    // The configuration that was reported with the last conflict.
    std::optional<ConfigurationState> m_conflictingState;
    HttpClient m_http;
};

} // namespace burdockhead
