#include <burdockhead/gateway/quarantinestore.h>
#include <burdockhead/observe/wallclock.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr Milliseconds callTimeout{1500};
constexpr Milliseconds retryDelay{500};
// A gateway doesn't wait for the quarantines when reading them has failed this often.
constexpr unsigned maxReadFailures = 2;
constexpr int statusOk = 200;
constexpr int firstFailureStatus = 300;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;

StoreTime storeTime(TimePoint now)
{
    return {now, static_cast<std::int64_t>(wallMilliseconds())};
}

} // namespace

QuarantineStore::QuarantineStore(EventLoop &loop, HttpClientPool &client,
                                 const StoreProtocol &protocol, SocketAddress store,
                                 PromptGuard &promptGuard, LineSink &log,
                                 std::function<void()> onRead)
    : m_loop(loop)
    , m_client(client)
    , m_protocol(protocol)
    , m_store(std::move(store))
    , m_promptGuard(promptGuard)
    , m_log(log)
    , m_onRead(std::move(onRead))
{}

void QuarantineStore::refresh(bool isWriter, TimePoint now)
{
    if ((m_call && !m_call->isDone()) || now < m_nextCallAt)
        return;
    if (!m_isRead) {
        readPage(now);
        return;
    }
    if (!isWriter)
        return;
    for (const auto &[part, entry] : m_promptGuard.quarantines().entries()) {
        const auto stored = m_storedRevisions.find(part);
        if (stored == m_storedRevisions.end() || stored->second < entry.m_revision) {
            write(entry, now);
            return;
        }
    }
}

void QuarantineStore::onRestored()
{
    m_storedRevisions.clear();
    m_existing.clear();
}

void QuarantineStore::readPage(TimePoint now)
{
    m_call = std::make_unique<ShortCall>(
        m_loop, m_client, m_store, "GET", m_protocol.quarantinesTarget(m_lastName), "",
        now + callTimeout, [this](ShortCall &call) { onPage(call); });
}

void QuarantineStore::onPage(const ShortCall &call)
{
    const TimePoint now = Clock::now();
    const auto page = call.status() == statusOk
                          ? m_protocol.parseQuarantines(call.body(), storeTime(now))
                          : std::nullopt;
    if (!page) {
        onFailure(call, "read");
        m_isRead = ++m_readFailures >= maxReadFailures;
        if (m_isRead)
            m_onRead();
        return;
    }
    for (const QuarantineEntry &entry : page->m_entries) {
        m_storedRevisions[entry.m_part] = entry.m_revision;
        m_existing.insert(entry.m_part);
    }
    m_promptGuard.receive({{}, {}, page->m_entries}, now);
    m_lastName = page->m_lastName;
    m_isRead = !page->m_hasMore || m_lastName.empty();
    if (m_isRead)
        m_onRead();
}

void QuarantineStore::onFailure(const ShortCall &call, const char *action)
{
    m_nextCallAt = Clock::now() + retryDelay;
    m_log.add("quarantine_store_failed", {{"action", action},
                                          {"status", std::to_string(call.status())},
                                          {"reason", call.failure()}});
}

void QuarantineStore::write(const QuarantineEntry &entry, TimePoint now)
{
    const bool isExisting = m_existing.contains(entry.m_part);
    const StoreTime time = storeTime(now);
    const StoreWrite request = !entry.m_isActive ? m_protocol.removeQuarantine(entry.m_part)
                               : isExisting      ? m_protocol.replaceQuarantine(entry, time)
                                                 : m_protocol.createQuarantine(entry, time);
    m_call = std::make_unique<ShortCall>(
        m_loop, m_client, m_store, request.m_method, request.m_target, request.m_body,
        now + callTimeout, [this, entry](ShortCall &call) { onWritten(call, entry); });
}

// An object that another gateway has created or removed meanwhile is replaced or created next.
void QuarantineStore::onWritten(const ShortCall &call, const QuarantineEntry &entry)
{
    const bool wasExisting = m_existing.contains(entry.m_part);
    const bool isGone = call.status() == statusNotFound;
    if (isGone)
        m_existing.erase(entry.m_part);
    else if (call.status() == statusConflict)
        m_existing.insert(entry.m_part);
    const bool isDone = call.status() >= statusOk && call.status() < firstFailureStatus;
    if (!isDone && !(isGone && !entry.m_isActive)) {
        if (wasExisting == m_existing.contains(entry.m_part))
            onFailure(call, "write");
        return;
    }
    m_storedRevisions[entry.m_part] = entry.m_revision;
    if (entry.m_isActive)
        m_existing.insert(entry.m_part);
    else
        m_existing.erase(entry.m_part);
    m_log.add("quarantine_stored", {{"part", entry.m_part.m_id},
                                    {"service", entry.m_part.m_service.text()},
                                    {"revision", std::to_string(entry.m_revision)},
                                    {"active", entry.m_isActive ? "yes" : "no"}});
}

} // namespace burdockhead
