#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/idempotency/claim.h>

#include <functional>
#include <optional>
#include <string>

namespace burdockhead {

// Permanently binds idempotency keys of workspaces to agent incarnations, across all entries.
class KeyBinder
{
public:
    // Receives the key's binding, or none and the failure.
    using Handler = std::function<void(std::optional<Binding>, const Failure &)>;

    virtual ~KeyBinder() = default;

    // Binds the key as proposed unless it is already bound, and reports the binding in effect.
    // The handler is called later, on another thread.
    virtual void bind(const std::string &workspace, const std::string &key, const Binding &proposal,
                      TimePoint deadline, Handler handler) = 0;

    // Reports the key's binding, if any, without creating one.
    virtual void find(const std::string &workspace, const std::string &key, TimePoint deadline,
                      Handler handler) = 0;
};

} // namespace burdockhead
