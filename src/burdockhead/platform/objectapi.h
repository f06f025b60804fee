#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/platform/platformobject.h>
#include <burdockhead/platform/vm.h>

#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// Answers name the platform's era, 0 if it has none. It rises by one each time that the platform
// comes back from an older copy; versions of objects then go back and are given out again.

// How a conditional write ended.
enum class WriteResult {
    Applied,  // The object now has the value; its new version is in the answer.
    Conflict, // The object's version was another; nothing was changed.
    Unknown,  // No answer: it may have been applied. Read back before writing again.
};

// A conditional write's result and, when applied, the object's new version.
struct WriteAnswer
{
    WriteResult m_result = WriteResult::Unknown;
    std::uint64_t m_version = 0;
    std::uint64_t m_era = 0;
};

// A read's result: whether the platform answered, and the object if there is one.
struct ReadAnswer
{
    bool m_answered = false;
    std::optional<PlatformObject> m_object;
    std::uint64_t m_era = 0;
};

// The platform's object API. Calls block until the answer or the deadline; they may be made
// from any thread. Every call counts against the platform's rates, a waiting watch as one.
class ObjectApi
{
public:
    virtual ~ObjectApi() = default;

    // Reads one object.
    virtual ReadAnswer read(const std::string &kind, const std::string &name,
                            TimePoint deadline) = 0;

    // Writes an object if its version is still object.m_version.
    virtual WriteAnswer write(const PlatformObject &object, TimePoint deadline) = 0;

    // Waits until the object's version is above `after` and reads it. Answered without an
    // object: nothing newer came before the deadline.
    virtual ReadAnswer watch(const std::string &kind, const std::string &name, std::uint64_t after,
                             TimePoint deadline) = 0;

    // The list of VMs; none when the platform did not answer.
    virtual std::optional<std::vector<Vm>> listVms(TimePoint deadline) = 0;
};

} // namespace burdockhead
