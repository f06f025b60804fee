#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace burdockhead {

// The closed list of everything that can be wrong with a request or an operation.
enum class ErrorKind {
    MalformedRequest,
    RequestTooLarge,
    UnknownPath,
    UnknownModel,
    UnknownWorkspace,
    InvalidCredential,
    UnknownKind,
    KeyRequired,
    KeyReusedForOtherRequest,
    WorkspaceOverLimit,
    Overloaded,
    DeadlineTooShort,
    DeadlineExceeded,
    NoEndpoint,
    EndpointCold,
    EndpointLeaving,
    DataCentreOut,
    NotCurrent,
    NotReady,
    PromptQuarantined,
    StaleIncarnation,
    StaleFence,
    OutcomeUnknown,
    EndpointFailed,
    StreamBroken,
    Cancelled,
    PlatformUnavailable,
    ConfigurationInvalid,
    ConfigurationConflict,
    PeerUnreachable,
    Internal,
    RequestQuarantined, // Last, since processes of two versions tell each other the number.
};

constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::RequestQuarantined) + 1;

// The kind's name as it stands in error bodies, logs and metrics, such as "overloaded".
const char *toString(ErrorKind kind);

// Reads a name that toString gives; none on any other text.
std::optional<ErrorKind> errorKindFromString(std::string_view name);

} // namespace burdockhead
