#include <burdockhead/gateway/callguard.h>

#include <utility>

namespace burdockhead {

namespace {

// From then on a stream has shown that its endpoint doesn't crash as it begins to answer: some
// events, and a time that is longer than a slow step.
constexpr std::size_t minSoundEvents = 3;
constexpr Milliseconds minSoundTime{300};

} // namespace

void CallGuard::identify(const GroupName &service, const PromptParts &promptParts,
                         const PromptParts &fingerprints)
{
    m_service = service;
    m_promptParts = promptParts;
    m_fingerprints = fingerprints;
    m_allParts = promptParts;
    m_allParts.insert(m_allParts.end(), fingerprints.begin(), fingerprints.end());
    m_promptGuard.recordArrival(m_service, m_promptParts);
}

PromptVerdict CallGuard::judge(TimePoint now) const
{
    return m_promptGuard.judge(m_allParts, now);
}

std::string CallGuard::quarantinedId(TimePoint now) const
{
    const QuarantineEntry *entry = m_promptGuard.findQuarantine(m_allParts, now);
    return entry == nullptr ? "" : entry->m_part.m_id;
}

void CallGuard::beginAttempt(const EndpointRun &endpoint, TimePoint now)
{
    endAttempt();
    m_endpoint = endpoint;
    m_sentAt = now;
    m_isAtEndpoint = true;
    m_isSound = false;
    m_promptGuard.onSent(m_promptParts, now);
    m_promptGuard.beginAttempt(m_fingerprints);
}

void CallGuard::endAttempt()
{
    if (std::exchange(m_isAtEndpoint, false))
        m_promptGuard.endAttempt(m_fingerprints);
}

void CallGuard::recordResponse(TimePoint now)
{
    m_promptGuard.recordAlive(m_endpoint.m_name, now);
}

void CallGuard::recordEvent(TimePoint now)
{
    m_promptGuard.recordProgress(m_service, now);
}

void CallGuard::recordAnswer(const CallTimes &times, bool isComplete, TimePoint now)
{
    const bool isAnswering = times.eventsSinceSent() >= minSoundEvents
                             && now - times.firstEventSinceSentAt() >= minSoundTime;
    if (isComplete)
        m_promptGuard.recordSound(m_fingerprints, now);
    if (m_isSound || !(isComplete || isAnswering))
        return;
    m_isSound = true;
    m_promptGuard.recordSound(m_promptParts, now);
}

// The parts are suspects until the endpoint has been answering the request for some time, the
// request as a whole until its answer is whole.
void CallGuard::recordBroken(TimePoint now)
{
    m_promptGuard.recordBroken(m_endpoint, m_service, m_isSound ? PromptParts() : m_promptParts,
                               now, BrokenRequest{m_fingerprints, m_sentAt});
}

void CallGuard::recordUnreachable(TimePoint now)
{
    m_promptGuard.recordGone(m_endpoint, now);
}

void CallGuard::recordBlame(const EndpointName &faulty, TimePoint now)
{
    if (faulty != m_endpoint.m_name)
        m_promptGuard.recordGone({faulty, 0}, now);
}

} // namespace burdockhead
