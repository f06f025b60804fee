#include "fakeworld.h"

#include "testconfiguration.h"

#include <algorithm>

namespace burdockhead {

namespace {

constexpr Milliseconds step(50);
constexpr Milliseconds platformPeriod(250);
constexpr Milliseconds acceptanceLimit(8000);
// After this long an accepted version must be in force wherever new work is taken.
constexpr Milliseconds promise(3000);

} // namespace

FakeWorld::FakeWorld(std::size_t dataCentres, std::size_t entriesEach, std::uint64_t seed,
                     Omission omission)
    : m_dataCentreCount(dataCentres)
    , m_omission(omission)
    , m_random(seed)
    , m_now(Seconds(1000))
{
    for (std::size_t dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
        const std::string name(1, static_cast<char>('a' + dataCentre));
        m_platformValue += name + " ";
        for (std::size_t number = 0; number <= entriesEach; ++number) {
            Process process;
            process.m_record.m_name = ProcessName(name + std::to_string(number));
            process.m_record.m_role = number < entriesEach ? VmRole::Entry : VmRole::Endpoint;
            process.m_record.m_dataCentre = DataCentreName(name);
            process.m_record.m_controlAddress = {
                "127.0.0.1", static_cast<std::uint16_t>(1 + m_processes.size())};
            m_vms.push_back({process.m_record.m_name, process.m_record.m_role,
                             process.m_record.m_dataCentre, process.m_record.m_controlAddress,
                             false});
            m_processes.push_back(std::move(process));
        }
    }
    for (std::size_t index = 0; index < m_processes.size(); ++index)
        start(index);
}

void FakeWorld::schedule(TimePoint at, std::function<void()> action)
{
    m_events.emplace(at, std::move(action));
}

void FakeWorld::runUntil(TimePoint time)
{
    while (!m_events.empty() && m_events.begin()->first <= time && m_broken.empty()) {
        m_now = std::max(m_now, m_events.begin()->first);
        auto action = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        action();
        check();
    }
    m_now = std::max(m_now, time);
}

void FakeWorld::start(std::size_t index)
{
    Process &process = m_processes[index];
    process.m_record.m_incarnation = Incarnation{m_nextIncarnation++};
    process.m_node = std::make_unique<MembershipNode>(
        NodeOptions{process.m_record, parseTestConfiguration, {}, {}});
    process.m_node->onVms(m_vms);
    process.m_up = true;
    process.m_paused = false;
    process.m_watching = false;
    process.m_highest = 0;
    process.m_onWake.clear();
    tickProcess(index, process.m_record.m_incarnation);
}

void FakeWorld::stop(std::size_t index)
{
    m_processes[index].m_up = false;
}

// Runs an action in a process if it is still the same run; a paused one runs it on waking.
void FakeWorld::atProcess(std::size_t index, Incarnation incarnation, std::function<void()> action)
{
    Process &process = m_processes[index];
    if (!process.m_up || process.m_record.m_incarnation != incarnation)
        return;
    if (process.m_paused)
        process.m_onWake.push_back(std::move(action));
    else
        action();
}

void FakeWorld::tickProcess(std::size_t index, Incarnation incarnation)
{
    atProcess(index, incarnation, [this, index, incarnation] {
        MembershipNode &node = *m_processes[index].m_node;
        node.tick(m_now, m_random);
        sendAll(index);
        watchPlatform(index);
        schedule(m_now + step, [this, index, incarnation] { tickProcess(index, incarnation); });
    });
}

void FakeWorld::watchPlatform(std::size_t index)
{
    Process &process = m_processes[index];
    if (process.m_watching || !process.m_node->watchesPlatform(m_now))
        return;
    process.m_watching = true;
    const TimePoint askedAt = m_now;
    const std::uint64_t after = process.m_node->heldVersion();
    const Incarnation incarnation = process.m_record.m_incarnation;
    schedule(m_now + latency(), [=, this] {
        ReadAnswer answer;
        answer.m_answered = reachesPlatform(index);
        if (answer.m_answered && m_platformVersion > after)
            answer.m_object = PlatformObject{configurationObjectKind, configurationObjectName,
                                             m_platformVersion, m_platformValue};
        schedule(m_now + latency(), [=, this] {
            atProcess(index, incarnation, [=, this] {
                m_processes[index].m_node->onPlatform(answer, after, askedAt, m_now);
                sendAll(index);
            });
        });
    });
    schedule(m_now + platformPeriod, [=, this] {
        atProcess(index, incarnation, [=, this] { m_processes[index].m_watching = false; });
    });
}

void FakeWorld::sendAll(std::size_t index)
{
    for (const OutgoingMessage &message : m_processes[index].m_node->takeOutgoing())
        deliver(index, message);
}

Milliseconds FakeWorld::latency()
{
    const bool late = isActive(FaultKind::LossyNetwork) && m_random() % 4 == 0;
    return Milliseconds(1 + m_random() % (late ? 900 : 20));
}

bool FakeWorld::lost()
{
    return isActive(FaultKind::LossyNetwork) && m_random() % 6 == 0;
}

// Carries a message and its answer; the sender hears of a failure at the deadline.
void FakeWorld::deliver(std::size_t from, const OutgoingMessage &message)
{
    const std::size_t to = message.m_address.m_port - 1U;
    const Incarnation incarnation = m_processes[from].m_record.m_incarnation;
    const auto ended = std::make_shared<bool>(false);
    const auto answered = [=, this](const std::string &payload) {
        atProcess(from, incarnation, [=, this] {
            if (std::exchange(*ended, true))
                return;
            takeAnswer(from, message, payload);
            sendAll(from);
        });
    };
    const auto arrived = [=, this] {
        if (lost() || !connected(from, to) || !m_processes[to].m_up)
            return;
        atProcess(to, m_processes[to].m_record.m_incarnation, [=, this] {
            const std::string reply =
                m_processes[to].m_node->answer(message.m_type, message.m_payload, m_now);
            sendAll(to);
            if (!lost() && connected(from, to))
                schedule(m_now + latency(), [=] { answered(reply); });
        });
    };
    schedule(m_now + latency(), arrived);
    if (isActive(FaultKind::LossyNetwork) && m_random() % 4 == 0)
        schedule(m_now + latency() + latency(), arrived);
    schedule(message.m_deadline, [=, this] {
        atProcess(from, incarnation, [=, this] {
            if (std::exchange(*ended, true))
                return;
            m_processes[from].m_node->onFailure(message, m_now);
            sendAll(from);
        });
    });
}

void FakeWorld::takeAnswer(std::size_t from, OutgoingMessage message, std::string payload)
{
    if (m_omission == Omission::QuestionTime)
        message.m_askedAt = m_now;
    auto response = decodeExchangeResponse(payload);
    if (m_omission == Omission::Vouching && message.m_type == ControlType::Exchange && response) {
        response->m_lapsed = false;
        payload = encode(*response);
    }
    m_processes[from].m_node->onAnswer(message, payload, m_now);
}

std::size_t FakeWorld::dataCentreOf(std::size_t index) const
{
    return index / (m_processes.size() / m_dataCentreCount);
}

bool FakeWorld::active(FaultKind kind, std::size_t target) const
{
    return std::any_of(m_faults.begin(), m_faults.end(), [&](const Fault &fault) {
        return fault.m_kind == kind && fault.m_target % m_dataCentreCount == target
               && fault.m_from <= m_now && m_now < fault.m_until;
    });
}

bool FakeWorld::isActive(FaultKind kind) const
{
    return std::any_of(m_faults.begin(), m_faults.end(), [&](const Fault &fault) {
        return fault.m_kind == kind && fault.m_from <= m_now && m_now < fault.m_until;
    });
}

bool FakeWorld::connected(std::size_t left, std::size_t right) const
{
    const std::size_t one = dataCentreOf(left);
    const std::size_t other = dataCentreOf(right);
    if (one == other)
        return true;
    return !active(FaultKind::CutDataCentre, one) && !active(FaultKind::CutDataCentre, other)
           && !active(FaultKind::CutFromAll, one) && !active(FaultKind::CutFromAll, other);
}

bool FakeWorld::reachesPlatform(std::size_t index) const
{
    const std::size_t dataCentre = dataCentreOf(index);
    return !isActive(FaultKind::PlatformDown) && !active(FaultKind::CutFromPlatform, dataCentre)
           && !active(FaultKind::CutFromAll, dataCentre);
}

void FakeWorld::add(const Fault &fault)
{
    m_faults.push_back(fault);
    const bool pause = fault.m_kind == FaultKind::PauseProcess;
    if (!pause && fault.m_kind != FaultKind::RestartProcess
        && fault.m_kind != FaultKind::RestartDataCentre)
        return;
    for (std::size_t index = 0; index < m_processes.size(); ++index) {
        const bool hit = fault.m_kind == FaultKind::RestartDataCentre
                             ? dataCentreOf(index) == fault.m_target % m_dataCentreCount
                             : index == fault.m_target % m_processes.size();
        if (!hit)
            continue;
        schedule(fault.m_from, [this, index, pause] {
            if (pause)
                m_processes[index].m_paused = true;
            else
                stop(index);
        });
        schedule(fault.m_until, [this, index, pause] {
            Process &process = m_processes[index];
            if (!pause && !process.m_up)
                start(index);
            process.m_paused = false;
            for (const auto &action : std::exchange(process.m_onWake, {}))
                action();
        });
    }
}

void FakeWorld::addChange(TimePoint at, std::size_t entry)
{
    schedule(at, [this, entry] {
        const std::size_t index = entry % m_processes.size();
        const Process &process = m_processes[index];
        if (!process.m_up || process.m_paused || process.m_record.m_role != VmRole::Entry)
            return;
        const std::uint64_t base = process.m_node->heldVersion();
        const std::string nonce = "n" + std::to_string(m_random());
        std::string text = "change:" + nonce;
        for (std::size_t number = 0; number < m_dataCentreCount; ++number)
            text += std::string(m_random() % 2 == 0 ? " " : " !") + static_cast<char>('a' + number);
        const auto change = std::make_shared<Change>(
            Change{index, process.m_record.m_incarnation, base, nonce,
                   Acceptance(base, text, nonce), m_now + acceptanceLimit});
        stepChange(change);
    });
}

void FakeWorld::stepChange(const std::shared_ptr<Change> &change)
{
    atProcess(change->m_entry, change->m_incarnation, [this, change] {
        Acceptance &acceptance = change->m_acceptance;
        if (m_now >= change->m_deadline)
            acceptance.onDeadline();
        MembershipNode &node = *m_processes[change->m_entry].m_node;
        if (acceptance.step() == AcceptanceStep::AwaitSpread) {
            if (m_omission == Omission::Quorum || node.quorumHolds(acceptance.version()))
                acceptance.onSpread();
            else
                node.spread(acceptance.version(), m_now);
            sendAll(change->m_entry);
        }
        if (acceptance.step() == AcceptanceStep::Done)
            report(*change);
        else if (acceptance.step() == AcceptanceStep::Read)
            readFor(change);
        else if (acceptance.step() == AcceptanceStep::Write)
            writeFor(change);
        else
            schedule(m_now + step, [this, change] { stepChange(change); });
    });
}

void FakeWorld::readFor(const std::shared_ptr<Change> &change)
{
    schedule(m_now + latency(), [this, change] {
        ReadAnswer answer;
        answer.m_answered = reachesPlatform(change->m_entry);
        answer.m_object = PlatformObject{configurationObjectKind, configurationObjectName,
                                         m_platformVersion, m_platformValue};
        schedule(m_now + latency(), [this, change, answer] {
            atProcess(change->m_entry, change->m_incarnation, [this, change, answer] {
                MembershipNode &node = *m_processes[change->m_entry].m_node;
                if (answer.m_answered)
                    node.onPlatform(answer, 0, TimePoint(), m_now);
                const bool reachable =
                    m_omission == Omission::Quorum || node.quorumReachable(m_now);
                change->m_acceptance.onRead(answer, reachable);
                schedule(m_now + step, [this, change] { stepChange(change); });
            });
        });
    });
}

void FakeWorld::writeFor(const std::shared_ptr<Change> &change)
{
    const PlatformObject object = change->m_acceptance.object();
    schedule(m_now + latency(), [this, change, object] {
        WriteAnswer answer;
        if (reachesPlatform(change->m_entry)) {
            answer.m_result = WriteResult::Conflict;
            if (object.m_version == m_platformVersion) {
                m_platformValue = object.m_value;
                m_writtenNonces.push_back(change->m_nonce);
                answer = {WriteResult::Applied, ++m_platformVersion};
            }
            if (isActive(FaultKind::LostWriteAnswers))
                answer = {};
        }
        schedule(m_now + latency(), [this, change, answer] {
            atProcess(change->m_entry, change->m_incarnation, [this, change, answer] {
                change->m_acceptance.onWrite(answer);
                schedule(m_now + step, [this, change] { stepChange(change); });
            });
        });
    });
}

// An accepted change must be the only one made from its base version, and must be in the
// platform's history.
void FakeWorld::report(Change &change)
{
    if (std::exchange(change.m_reported, true)
        || change.m_acceptance.result().m_outcome != ApplyOutcome::Accepted)
        return;
    ++m_acceptedCount;
    m_acceptedAt.emplace(change.m_acceptance.version(), m_now);
    const auto written = std::find(m_writtenNonces.begin(), m_writtenNonces.end(), change.m_nonce);
    if (written == m_writtenNonces.end())
        fail("an accepted change is not in the platform");
    if (!m_winners.emplace(change.m_base, change.m_nonce).second)
        fail("two racing changes were accepted");
}

void FakeWorld::fail(const std::string &what)
{
    if (m_broken.empty())
        m_broken = what;
}

// The promises: a version in force never goes back, and no process takes new work with a
// version older than one accepted three seconds ago.
void FakeWorld::check()
{
    std::uint64_t required = 0;
    for (const auto &[version, acceptedAt] : m_acceptedAt) {
        if (acceptedAt + promise <= m_now)
            required = std::max(required, version);
    }
    for (Process &process : m_processes) {
        if (!process.m_up || process.m_paused)
            continue;
        const ConfigurationPointer inForce = process.m_node->inForce();
        const std::uint64_t version = inForce ? inForce->m_version : 0;
        if (version < process.m_highest)
            fail(process.m_record.m_name.text() + " went back to an older version");
        process.m_highest = version;
        const bool takesWork = m_omission == Omission::CurrencyCheck
                                   ? process.m_node->isReady()
                                   : process.m_node->isCurrent(m_now);
        if (takesWork && version < required)
            fail(process.m_record.m_name.text() + " takes work with version "
                 + std::to_string(version) + ", accepted was " + std::to_string(required));
    }
}

bool FakeWorld::isWhole() const
{
    return std::all_of(m_processes.begin(), m_processes.end(), [this](const Process &process) {
        return process.m_up && process.m_node->isCurrent(m_now)
               && process.m_node->inForce()->m_version == m_platformVersion;
    });
}

} // namespace burdockhead
