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

void Acceptance::onRead(const ReadAnswer &answer, bool quorumReachable)
{
    if (m_step != AcceptanceStep::Read)
        return;
    if (!answer.m_answered) {
        // After a write was sent the next read decides; before, nothing has happened.
        if (!m_written)
            finish(ApplyOutcome::PlatformUnavailable, 0, "the platform does not answer");
        return;
    }
    const std::uint64_t version = answer.m_object ? answer.m_object->m_version : 0;
    const ConfigurationValue value =
        ConfigurationValue::parse(answer.m_object ? answer.m_object->m_value : "");
    if (value.contains(m_nonce) || version != m_baseVersion) {
        onReadBack(value, version);
        return;
    }
    if (!quorumReachable) {
        if (!m_written)
            finish(ApplyOutcome::PlatformUnavailable, version,
                   "too many data centres are out of reach");
        return;
    }
    m_base = value;
    m_step = AcceptanceStep::Write;
}

// The object has moved on from the base version, so a write that is still under way can no
// longer be applied, and the nonces tell whether it has been.
void Acceptance::onReadBack(const ConfigurationValue &value, std::uint64_t version)
{
    if (value.contains(m_nonce)) {
        m_version = version;
        m_step = AcceptanceStep::AwaitQuorum;
        return;
    }
    m_result.m_text = value.m_text;
    finish(ApplyOutcome::Conflict, version, "another change came first");
}

void Acceptance::onWrite(const WriteAnswer &answer)
{
    if (m_step != AcceptanceStep::Write)
        return;
    m_written = true;
    m_step = AcceptanceStep::Read;
    if (answer.m_result == WriteResult::Applied) {
        m_version = answer.m_version;
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
    } else if (m_written) {
        finish(ApplyOutcome::Unknown, 0, "the platform's answer was lost");
    } else {
        finish(ApplyOutcome::PlatformUnavailable, 0, "the platform does not answer in time");
    }
}

PlatformObject Acceptance::updatedObject() const
{
    return {configurationObjectKind, configurationObjectName, m_baseVersion,
            m_base.changed(m_nonce, m_text).toString()};
}

} // namespace burdockhead
