#pragma once

#include <burdockhead/configuration/applyresult.h>
#include <burdockhead/configuration/configurationvalue.h>
#include <burdockhead/platform/objectapi.h>

#include <optional>

namespace burdockhead {

// What a change needs done next.
enum class AcceptanceStep {
    Read,        // Read the configuration object, then call onRead().
    Write,       // Write object(), then call onWrite().
    AwaitQuorum, // Wait until a quorum of data centres holds version(), then onSpread().
    Done,        // result() is final.
};

// Carries one change of the configuration to its outcome. The change is a conditional
// update; when its answer is lost, the object is read back and the nonce looked for. It is
// accepted only when a quorum of data centres holds the new version, because a process
// without the platform learns of accepted versions from a majority. Not thread safe.
class Acceptance
{
public:
    Acceptance(std::uint64_t baseVersion, std::string text, std::string nonce);

    AcceptanceStep step() const { return m_step; }

    // The object read; quorumReachable tells whether a quorum of data centres has been
    // heard of lately, without which nothing is written.
    void onRead(const ReadAnswer &answer, bool quorumReachable);

    // The write's answer.
    void onWrite(const WriteAnswer &answer);

    // A quorum of data centres holds the new version.
    void onQuorumReached();

    // The time for the change is over.
    void onDeadline();

    // The object to write.
    PlatformObject updatedObject() const;

    // The version that the change made, once it is known to be applied.
    std::uint64_t version() const { return m_version; }

    // The outcome; Unknown until the step is Done.
    const ApplyResult &result() const { return m_result; }

private:
    void finish(ApplyOutcome outcome, std::uint64_t version, std::string reason);
    void onReadBack(const ConfigurationValue &value, std::uint64_t version);

    std::uint64_t m_baseVersion;
    std::string m_text;
    std::string m_nonce;
    AcceptanceStep m_step = AcceptanceStep::Read;
    bool m_written = false; // A write was sent, so it may have been applied.
    std::uint64_t m_version = 0;
    ConfigurationValue m_base;
    ApplyResult m_result;
};

} // namespace burdockhead
