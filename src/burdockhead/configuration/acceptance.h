#pragma once

#include <burdockhead/configuration/applyresult.h>
#include <burdockhead/configuration/configurationvalue.h>
#include <burdockhead/platform/objectapi.h>

#include <optional>

namespace burdockhead {

// The next step of a configuration change.
enum class AcceptanceStep {
    Read,        // Read the configuration object, then call onRead().
    Write,       // Write updatedObject(), then call onWrite().
    AwaitQuorum, // Wait until a quorum of data centres holds version(), then call
                 // onQuorumReached().
    Done,        // result() is final.
};

// State machine of one configuration change. The change is a conditional update; if its reply is
// lost, the object is read back and searched for the nonce. The change is accepted only once a
// quorum of data centres holds the new version, because a process that can't reach the platform
// gets accepted versions from a majority of data centres. Not thread-safe.
class Acceptance
{
public:
    Acceptance(std::uint64_t baseVersion, std::string text, std::string nonce);

    AcceptanceStep step() const { return m_step; }

    // Handles the result of a read. Nothing is written unless a quorum of data centres has
    // reported recently, as quorumReachable tells.
    void onRead(const ReadAnswer &reply, bool quorumReachable);

    // Handles the result of a write.
    void onWrite(const WriteAnswer &reply);

    // Accepts the change, since a quorum of data centres now holds the new version.
    void onQuorumReached();

    // Ends the change with the outcome known at the deadline.
    void onDeadline();

    // Returns the object to write, with the change and its nonce.
    PlatformObject updatedObject() const;

    // Returns the version that the change created; 0 until it is known to be applied.
    std::uint64_t version() const { return m_version; }

    // Returns the outcome; Unknown until the step is Done.
    const ApplyResult &result() const { return m_result; }

private:
    void finish(ApplyOutcome outcome, std::uint64_t version, std::string reason);
    void resolveReadBack(const ConfigurationValue &value, std::uint64_t version);

    std::uint64_t m_baseVersion;
    std::string m_text;
    std::string m_nonce;
    AcceptanceStep m_step = AcceptanceStep::Read;
    bool m_isWriteSent = false; // A write was sent, so it may have been applied.
    std::uint64_t m_version = 0;
    ConfigurationValue m_base;
    ApplyResult m_result;
};

} // namespace burdockhead
