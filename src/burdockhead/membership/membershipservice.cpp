#include <burdockhead/configuration/configurationacceptor.h>
#include <burdockhead/membership/controllink.h>
#include <burdockhead/membership/membershipnode.h>
#include <burdockhead/membership/membershipservice.h>
#include <burdockhead/membership/platformwatcher.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace burdockhead {

namespace {

constexpr Milliseconds tickPeriod(25);
constexpr Milliseconds spreadPeriod(50);
constexpr Seconds brokenPeriod(2);
constexpr std::uint64_t firstOtherType = 16;

MemberRecord recordOf(const MembershipOptions &options)
{
    MemberRecord record;
    record.m_name = options.m_name;
    record.m_role = options.m_role;
    record.m_dataCentre = options.m_dataCentre;
    record.m_control = options.m_control;
    record.m_service = options.m_caller;
    record.m_operators = options.m_operators;
    record.m_incarnation = options.m_incarnation;
    if (options.m_announcement) {
        record.m_service = options.m_announcement->m_linkAddress;
        record.m_endpoint = options.m_announcement->m_endpoint;
        record.m_leaving = options.m_announcement->m_state == ReplicaState::Leaving;
    }
    return record;
}

} // namespace

struct MembershipService::Private : public ConfigurationSpread
{
    explicit Private(MembershipOptions options);

    void run();
    void work(std::unique_lock<std::mutex> &lock);
    void sendAll(const std::vector<OutgoingMessage> &messages);
    void report(const std::vector<MemberRecord> &changes);
    void publish();
    void wake();
    std::optional<std::string> answer(std::uint64_t type, const std::string &payload);
    std::unique_ptr<PlatformWatcher> makeWatcher();

    bool isQuorumReachable() override;
    void learn(const PlatformObject &object) override;
    bool waitForQuorum(std::uint64_t version, TimePoint deadline) override;

    MembershipOptions m_options;
    std::function<void(const ReplicaAnnouncement &)> m_onAnnouncement;
    std::function<void(ConfigurationPointer)> m_onConfiguration;
    std::map<std::uint64_t, ControlHandler> m_handlers;

    mutable std::mutex m_mutex; // Guards the node and the flags.
    std::condition_variable m_wake;
    MembershipNode m_node;
    bool m_running = false;
    bool m_due = false; // There is work before the next tick.

    mutable std::mutex m_publishedMutex; // Guards the configuration in force; taken last.
    ConfigurationPointer m_published;
    std::atomic<TimePoint> m_currentUntil{};

    std::uint64_t m_reportedVersion = 0; // Used by the service thread only.
    TimePoint m_nextDrop;
    Random m_random;
    std::thread m_thread;
    std::unique_ptr<PlatformWatcher> m_watcher;
    ControlLink m_link;
};

MembershipService::Private::Private(MembershipOptions options)
    : m_options(std::move(options))
    , m_node(NodeOptions{recordOf(m_options), m_options.m_parser, {}, {}})
    , m_random(std::random_device()())
    , m_link(
          [this](std::uint64_t type, const std::string &payload) { return answer(type, payload); })
{
    m_node.onVms(m_options.m_seeds);
}

// The configuration is published before the time until which the process is current, so
// that whoever sees the time also sees the configuration that it holds for.
void MembershipService::Private::publish()
{
    {
        const std::lock_guard lock(m_publishedMutex);
        m_published = m_node.inForce();
    }
    m_currentUntil = m_node.currentUntil();
}

void MembershipService::Private::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_due = true;
    }
    m_wake.notify_all();
}

std::optional<std::string> MembershipService::Private::answer(std::uint64_t type,
                                                              const std::string &payload)
{
    if (type >= firstOtherType) {
        const auto handler = m_handlers.find(type);
        if (handler == m_handlers.end())
            return std::nullopt;
        return handler->second(payload);
    }
    std::string reply;
    {
        const std::lock_guard lock(m_mutex);
        reply = m_node.answer(static_cast<ControlType>(type), payload, Clock::now());
        publish();
        m_due = true;
    }
    m_wake.notify_all();
    return reply.empty() ? std::nullopt : std::optional(std::move(reply));
}

void MembershipService::Private::sendAll(const std::vector<OutgoingMessage> &messages)
{
    for (const OutgoingMessage &message : messages) {
        m_link.send(message.m_address, static_cast<std::uint64_t>(message.m_type),
                    message.m_payload, message.m_deadline,
                    [this, message](const std::optional<std::string> &answer) {
                        {
                            const std::lock_guard lock(m_mutex);
                            if (answer)
                                m_node.onAnswer(message, *answer, Clock::now());
                            else
                                m_node.onFailure(message, Clock::now());
                            publish();
                            m_due = true;
                        }
                        m_wake.notify_all();
                    });
    }
}

void MembershipService::Private::report(const std::vector<MemberRecord> &changes)
{
    for (const MemberRecord &record : changes) {
        if (record.m_role == VmRole::Endpoint && m_onAnnouncement)
            m_onAnnouncement(record.toAnnouncement());
    }
    ConfigurationPointer published;
    {
        const std::lock_guard lock(m_publishedMutex);
        published = m_published;
    }
    if (!published || published->m_version <= m_reportedVersion)
        return;
    m_reportedVersion = published->m_version;
    if (m_onConfiguration)
        m_onConfiguration(std::move(published));
}

// One turn of the service thread; sends and reports without the lock.
void MembershipService::Private::work(std::unique_lock<std::mutex> &lock)
{
    m_due = false;
    m_node.tick(Clock::now(), m_random);
    publish();
    const std::vector<OutgoingMessage> messages = m_node.takeOutgoing();
    const std::vector<MemberRecord> changes = m_node.table().takeChanges();
    lock.unlock();
    sendAll(messages);
    report(changes);
    if (Clock::now() >= m_nextDrop) {
        m_nextDrop = Clock::now() + brokenPeriod;
        m_link.dropBroken();
    }
    lock.lock();
}

void MembershipService::Private::run()
{
    std::unique_lock lock(m_mutex);
    while (m_running) {
        work(lock);
        m_wake.wait_for(lock, tickPeriod, [this] { return m_due || !m_running; });
    }
}

std::unique_ptr<PlatformWatcher> MembershipService::Private::makeWatcher()
{
    PlatformWatcherHooks hooks;
    hooks.m_shouldWatch = [this] {
        const std::lock_guard lock(m_mutex);
        return m_node.watchesPlatform(Clock::now());
    };
    hooks.m_needsVms = [this] {
        const std::lock_guard lock(m_mutex);
        return m_node.needsVms();
    };
    hooks.m_heldVersion = [this] {
        const std::lock_guard lock(m_mutex);
        return m_node.heldVersion();
    };
    hooks.m_onAnswer = [this](const ReadAnswer &answer, std::uint64_t after, TimePoint askedAt) {
        {
            const std::lock_guard lock(m_mutex);
            m_node.onPlatform(answer, after, askedAt, Clock::now());
            publish();
        }
        wake();
    };
    hooks.m_onVms = [this](const std::vector<Vm> &vms) {
        const std::lock_guard lock(m_mutex);
        m_node.onVms(vms);
    };
    return std::make_unique<PlatformWatcher>(m_options.m_platform, std::move(hooks));
}

bool MembershipService::Private::isQuorumReachable()
{
    const std::lock_guard lock(m_mutex);
    // Before the first configuration there are no data centres to reach.
    return m_node.heldVersion() == 0 || m_node.quorumReachable(Clock::now());
}

void MembershipService::Private::learn(const PlatformObject &object)
{
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = Clock::now();
        // Held to be as old as can be, so that it counts as no evidence of being current.
        m_node.onPlatform({true, object}, 0, TimePoint(), now);
        publish();
    }
    wake();
}

bool MembershipService::Private::waitForQuorum(std::uint64_t version, TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    TimePoint nextSpread = Clock::now();
    while (m_running && Clock::now() < deadline) {
        if (m_node.quorumHolds(version))
            return true;
        if (Clock::now() >= nextSpread) {
            nextSpread = Clock::now() + spreadPeriod;
            m_node.spread(version, Clock::now());
            m_due = true;
            m_wake.notify_all();
        }
        m_wake.wait_for(lock, tickPeriod);
    }
    return false;
}

MembershipService::MembershipService(MembershipOptions options)
    : m_d(std::make_unique<Private>(std::move(options)))
{}

MembershipService::~MembershipService()
{
    stop();
}

void MembershipService::onAnnouncement(std::function<void(const ReplicaAnnouncement &)> callback)
{
    m_d->m_onAnnouncement = std::move(callback);
}

void MembershipService::onConfiguration(std::function<void(ConfigurationPointer)> callback)
{
    m_d->m_onConfiguration = std::move(callback);
}

void MembershipService::registerHandler(std::uint64_t messageType, ControlHandler handler)
{
    m_d->m_handlers[messageType] = std::move(handler);
}

bool MembershipService::start(Failure &failure)
{
    if (!m_d->m_link.listen(m_d->m_options.m_control, failure))
        return false;
    {
        const std::lock_guard lock(m_d->m_mutex);
        m_d->m_running = true;
    }
    m_d->m_thread = std::thread([this] { m_d->run(); });
    if (m_d->m_options.m_platform) {
        m_d->m_watcher = m_d->makeWatcher();
        m_d->m_watcher->start();
    }
    return true;
}

void MembershipService::stop()
{
    {
        const std::lock_guard lock(m_d->m_mutex);
        m_d->m_running = false;
    }
    m_d->m_wake.notify_all();
    if (m_d->m_watcher)
        m_d->m_watcher->stop();
    if (m_d->m_thread.joinable())
        m_d->m_thread.join();
    m_d->m_link.close();
}

void MembershipService::setLeaving()
{
    {
        const std::lock_guard lock(m_d->m_mutex);
        m_d->m_node.setLeaving(true);
    }
    m_d->wake();
}

void MembershipService::announce(const ReplicaAnnouncement &announcement)
{
    {
        const std::lock_guard lock(m_d->m_mutex);
        m_d->m_node.setLeaving(announcement.m_state == ReplicaState::Leaving);
    }
    m_d->wake();
}

ConfigurationPointer MembershipService::configuration() const
{
    const std::lock_guard lock(m_d->m_publishedMutex);
    return m_d->m_published;
}

bool MembershipService::isReady() const
{
    return configuration() != nullptr;
}

bool MembershipService::isCurrent() const
{
    return Clock::now() < m_d->m_currentUntil.load();
}

std::vector<EntryInfo> MembershipService::entries() const
{
    const std::lock_guard lock(m_d->m_mutex);
    std::vector<EntryInfo> entries;
    for (const MemberRecord *record : m_d->m_node.table().members(VmRole::Entry))
        entries.push_back(record->toEntryInfo());
    return entries;
}

std::vector<MemberRecord> MembershipService::members() const
{
    const std::lock_guard lock(m_d->m_mutex);
    std::vector<MemberRecord> members;
    for (const VmRole role : {VmRole::Entry, VmRole::Endpoint}) {
        for (const MemberRecord *record : m_d->m_node.table().members(role))
            members.push_back(*record);
    }
    return members;
}

std::vector<ReplicaAnnouncement> MembershipService::announcements() const
{
    const std::lock_guard lock(m_d->m_mutex);
    std::vector<ReplicaAnnouncement> announcements;
    for (const MemberRecord *record : m_d->m_node.table().members(VmRole::Endpoint))
        announcements.push_back(record->toAnnouncement());
    return announcements;
}

std::optional<std::string> MembershipService::call(const SocketAddress &peer,
                                                   std::uint64_t messageType,
                                                   const std::string &payload, TimePoint deadline,
                                                   Failure &failure)
{
    struct Waiting
    {
        std::mutex m_mutex;
        std::condition_variable m_done;
        bool m_ended = false;
        std::optional<std::string> m_answer;
    };
    const auto waiting = std::make_shared<Waiting>();
    m_d->m_link.send(peer, messageType, payload, deadline,
                     [waiting](std::optional<std::string> answer) {
                         const std::lock_guard lock(waiting->m_mutex);
                         waiting->m_answer = std::move(answer);
                         waiting->m_ended = true;
                         waiting->m_done.notify_all();
                     });
    std::unique_lock lock(waiting->m_mutex);
    waiting->m_done.wait(lock, [&waiting] { return waiting->m_ended; });
    if (!waiting->m_answer)
        failure = {ErrorKind::PeerUnreachable, "no answer from " + peer.toString()};
    return waiting->m_answer;
}

ApplyResult MembershipService::apply(std::uint64_t baseVersion, const std::string &text,
                                     const std::string &nonce, TimePoint deadline)
{
    if (!m_d->m_options.m_platform) {
        ApplyResult result;
        result.m_outcome = ApplyOutcome::PlatformUnavailable;
        result.m_reason = "no platform is configured";
        return result;
    }
    ConfigurationAcceptor acceptor(*m_d->m_options.m_platform, *m_d, m_d->m_options.m_parser);
    return acceptor.apply(baseVersion, text, nonce, deadline);
}

MembershipCounters MembershipService::counters() const
{
    MembershipCounters counters = m_d->m_link.counters();
    if (m_d->m_watcher)
        counters.m_platformCalls = m_d->m_watcher->calls();
    return counters;
}

} // namespace burdockhead
