#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/entry/keybinding.h>

#include <functional>
#include <optional>
#include <string>

namespace burdockhead {

// Binds idempotency keys for good, over all entries.
class KeyBinder
{
public:
    // Gets the key's binding, or none with the reason.
    using Handler = std::function<void(std::optional<KeyBinding>, const Failure &)>;

    virtual ~KeyBinder() = default;

    // Binds the key as proposed unless it is bound already, and reports the binding that
    // holds. The handler comes later, on another thread.
    virtual void bind(const std::string &key, const KeyBinding &proposal, TimePoint deadline,
                      Handler handler) = 0;

    // Reports the key's binding, if it has one.
    virtual void find(const std::string &key, TimePoint deadline, Handler handler) = 0;
};

} // namespace burdockhead
