#include <burdockhead/configuration/configurationacceptor.h>

#include <algorithm>
#include <thread>

namespace burdockhead {

namespace {

constexpr Seconds platformCallTimeout(2);
constexpr Milliseconds readBackDelay(100);
// How long a change waits for a quorum of data centres to report, which busy processes do late.
constexpr Milliseconds quorumReportTimeout(3000);
constexpr Milliseconds quorumPollInterval(50);

} // namespace

ConfigurationAcceptor::ConfigurationAcceptor(ObjectApi &platform,
                                             ConfigurationDistribution &distribution,
                                             ConfigurationParser parser)
    : m_platform(platform)
    , m_distribution(distribution)
    , m_parser(std::move(parser))
{}

ApplyResult ConfigurationAcceptor::apply(std::uint64_t baseVersion, const std::string &text,
                                         const std::string &nonce, TimePoint deadline)
{
    ApplyResult invalid;
    invalid.m_outcome = ApplyOutcome::Invalid;
    Failure failure;
    if (!m_parser(text, failure))
        invalid.m_reason = failure.m_reason;
    else if (!isValidNonce(nonce))
        invalid.m_reason = "the nonce must be 1 to 64 letters, digits or hyphens";
    if (!invalid.m_reason.empty())
        return invalid;
    Acceptance acceptance(baseVersion, text, nonce);
    while (acceptance.step() != AcceptanceStep::Done) {
        if (Clock::now() >= deadline)
            acceptance.onDeadline();
        else
            takeStep(acceptance, deadline);
    }
    return acceptance.result();
}

void ConfigurationAcceptor::takeStep(Acceptance &acceptance, TimePoint deadline)
{
    const TimePoint callDeadline = std::min(deadline, Clock::now() + platformCallTimeout);
    if (acceptance.step() == AcceptanceStep::Read)
        readObject(acceptance, callDeadline, deadline);
    else if (acceptance.step() == AcceptanceStep::Write)
        writeObject(acceptance, callDeadline);
    else if (m_distribution.waitForQuorum(acceptance.version(), deadline))
        acceptance.onQuorumReached();
    else
        acceptance.onDeadline();
}

void ConfigurationAcceptor::readObject(Acceptance &acceptance, TimePoint callDeadline,
                                       TimePoint deadline)
{
    const ReadAnswer reply =
        m_platform.read(configurationObjectKind, configurationObjectName, callDeadline);
    if (reply.m_object)
        m_distribution.onPlatformObject(*reply.m_object);
    acceptance.onRead(reply, reply.m_answered && waitForReachableQuorum(deadline));
    if (acceptance.step() == AcceptanceStep::Read)
        std::this_thread::sleep_for(readBackDelay);
}

bool ConfigurationAcceptor::waitForReachableQuorum(TimePoint deadline)
{
    const TimePoint reportsDueAt = std::min(deadline, Clock::now() + quorumReportTimeout);
    while (!m_distribution.isQuorumReachable()) {
        if (Clock::now() >= reportsDueAt)
            return false;
        std::this_thread::sleep_for(quorumPollInterval);
    }
    return true;
}

void ConfigurationAcceptor::writeObject(Acceptance &acceptance, TimePoint deadline)
{
    PlatformObject object = acceptance.updatedObject();
    const WriteAnswer reply = m_platform.write(object, deadline);
    acceptance.onWrite(reply);
    if (reply.m_result != WriteResult::Applied)
        return;
    object.m_version = reply.m_version;
    m_distribution.onPlatformObject(object);
}

} // namespace burdockhead
