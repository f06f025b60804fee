#include <burdockhead/configuration/acceptance.h>

namespace burdockhead {

Acceptance::Acceptance(std::uint64_t baseVersion, std::string text, std::string nonce)
    : m_baseVersion(baseVersion)
    , m_text(std::move(text))
    , m_nonce(std::move(nonce))
{}

void Acceptance::finish(ApplyOutcome outcome, std::uint64_t version, std::string reason)
{
    m_result.m_outcome = outcome;
    m_result.m_version = version;
    m_result.m_reason = std::move(reason);
    m_step = AcceptanceStep::Done;
}

void Acceptance::onRead(const ReadAnswer &reply, bool quorumReachable)
{
    if (m_step != AcceptanceStep::Read)
        return;
    if (!reply.m_answered) {
        // Once a write has been sent only the next read tells whether it was applied.
        // Before that, nothing can have changed.
        if (!m_isWriteSent)
            finish(ApplyOutcome::PlatformUnavailable, 0, "the platform does not answer");
        return;
    }
    const std::uint64_t version = reply.m_object ? reply.m_object->m_version : 0;
    const ConfigurationValue value =
        ConfigurationValue::parse(reply.m_object ? reply.m_object->m_value : "");
    if (value.contains(m_nonce) || version != m_baseVersion) {
        resolveReadBack(value, version);
        return;
    }
    if (!quorumReachable) {
        if (!m_isWriteSent)
            finish(ApplyOutcome::PlatformUnavailable, version,
                   "too many data centres are out of reach");
        return;
    }
    m_base = value;
    m_step = AcceptanceStep::Write;
}

// The object no longer has the base version, so a write still in flight fails its condition. The
// stored nonces show whether the write has been applied.
void Acceptance::resolveReadBack(const ConfigurationValue &value, std::uint64_t version)
{
    if (value.contains(m_nonce)) {
        m_version = version;
        m_step = AcceptanceStep::AwaitQuorum;
        return;
    }
    m_result.m_text = value.m_text;
    finish(ApplyOutcome::Conflict, version, "another change came first");
}

void Acceptance::onWrite(const WriteAnswer &reply)
{
    if (m_step != AcceptanceStep::Write)
        return;
    m_isWriteSent = true;
    m_step = AcceptanceStep::Read;
    if (reply.m_result == WriteResult::Applied) {
        m_version = reply.m_version;
        m_step = AcceptanceStep::AwaitQuorum;
    }
}

void Acceptance::onQuorumReached()
{
    if (m_step == AcceptanceStep::AwaitQuorum)
        finish(ApplyOutcome::Accepted, m_version, "");
}

void Acceptance::onDeadline()
{
    if (m_step == AcceptanceStep::Done)
        return;
    if (m_version != 0) {
        finish(ApplyOutcome::Unknown, m_version,
               "written, but too few data centres have confirmed it yet");
    } else if (m_isWriteSent) {
        finish(ApplyOutcome::Unknown, 0, "the platform's answer was lost");
    } else {
        finish(ApplyOutcome::PlatformUnavailable, 0, "the platform does not answer in time");
    }
}

PlatformObject Acceptance::updatedObject() const
{
    return {configurationObjectKind, configurationObjectName, m_baseVersion,
            m_base.withChange(m_nonce, m_text).toString()};
}

} // namespace burdockhead
