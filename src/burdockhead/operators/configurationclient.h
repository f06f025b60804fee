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

// The configuration in force, as an entry tells it. Version 0: there is none yet.
struct ConfigurationState
{
    std::uint64_t m_version = 0;
    std::string m_text;
};

// Reads and changes the configuration through the operators' port of an entry. Calls block.
class ConfigurationClient
{
public:
    // The entries are tried in order until one answers. The time limit is for each call.
    ConfigurationClient(std::vector<SocketAddress> entries, Milliseconds timeout);

    // The configuration in force; none, with the reason, when no entry tells it.
    std::optional<ConfigurationState> read(Failure &failure);

    // Puts a text in force if that version still is; returns the new version. The change
    // goes to the entry that answered the last read, which must have come before. A change
    // whose answer is lost is never sent again: the configuration is read back. None, with
    // the reason: ConfigurationConflict when somebody else changed it,
    // ConfigurationInvalid when the entry refuses the text, OutcomeUnknown when it can't
    // be told whether it is in force.
    std::optional<std::uint64_t> write(std::uint64_t baseVersion, const std::string &text,
                                       Failure &failure);

    // After a conflict: the configuration that is in force, as the entry told it then or
    // tells it now.
    std::optional<ConfigurationState> readAfterConflict(Failure &failure);

    // Any GET, answered by the first entry that can be reached.
    std::optional<HttpResponse> get(const std::string &path, Failure &failure);

private:
    std::optional<HttpResponse> put(std::uint64_t baseVersion, const std::string &text,
                                    Failure &failure);
    std::optional<std::uint64_t> readBack(std::uint64_t baseVersion, const std::string &text,
                                          Failure &failure);
    HttpCall callTo(const SocketAddress &entry, const std::string &path) const;

    const std::vector<SocketAddress> m_entries;
    const Milliseconds m_timeout;
    SocketAddress m_lastAnswering;                  // The entry that answered the last read.
    std::optional<ConfigurationState> m_inConflict; // What the last write lost against.
    HttpClient m_http;
};

} // namespace burdockhead
