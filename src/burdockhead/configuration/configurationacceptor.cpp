#include <burdockhead/configuration/configurationacceptor.h>

#include <algorithm>
#include <thread>

namespace burdockhead {

namespace {

constexpr Seconds platformCallLimit(2);
constexpr Milliseconds pauseBeforeReadBack(100);

} // namespace

ConfigurationAcceptor::ConfigurationAcceptor(ObjectApi &platform, ConfigurationDistribution &spread,
                                             ConfigurationParser parser)
    : m_platform(platform)
    , m_spread(spread)
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
    const TimePoint callDeadline = std::min(deadline, Clock::now() + platformCallLimit);
    if (acceptance.step() == AcceptanceStep::Read)
        read(acceptance, callDeadline);
    else if (acceptance.step() == AcceptanceStep::Write)
        write(acceptance, callDeadline);
    else if (m_spread.waitForQuorum(acceptance.version(), deadline))
        acceptance.onQuorumReached();
    else
        acceptance.onDeadline();
}

void ConfigurationAcceptor::read(Acceptance &acceptance, TimePoint deadline)
{
    const ReadAnswer answer =
        m_platform.read(configurationObjectKind, configurationObjectName, deadline);
    if (answer.m_object)
        m_spread.onPlatformObject(*answer.m_object);
    acceptance.onRead(answer, m_spread.isQuorumReachable());
    if (acceptance.step() == AcceptanceStep::Read)
        std::this_thread::sleep_for(pauseBeforeReadBack);
}

void ConfigurationAcceptor::write(Acceptance &acceptance, TimePoint deadline)
{
    PlatformObject object = acceptance.updatedObject();
    const WriteAnswer answer = m_platform.write(object, deadline);
    acceptance.onWrite(answer);
    if (answer.m_result != WriteResult::Applied)
        return;
    object.m_version = answer.m_version;
    m_spread.onPlatformObject(object);
}

} // namespace burdockhead
