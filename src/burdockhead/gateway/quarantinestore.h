#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/gateway/storeprotocol.h>
#include <burdockhead/net/shortcall.h>
#include <burdockhead/observe/linesink.h>
#include <burdockhead/quarantine/promptguard.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace burdockhead {

// Keeps the quarantines in the platform's store, so that they outlast a stop of all gateways. They
// are read once at the start and written by one gateway at a time; between gateways they spread by
// gossip.
class QuarantineStore
{
public:
    QuarantineStore(EventLoop &loop, HttpClientPool &client, const StoreProtocol &protocol,
                    SocketAddress store, PromptGuard &promptGuard, LineSink &log,
                    std::function<void()> onRead);

    // Makes the next call that is due; to be called at the start, and a few times a second while
    // the store is available. Only a writer writes. Calls `onRead` once isRead() has become true.
    void refresh(bool isWriter, TimePoint now);

    // Records that the store has come back from an older copy, so that all is written again.
    void onRestored();

    // Returns whether the quarantines have been read, or can't be.
    bool isRead() const { return m_isRead; }

private:
    void readPage(TimePoint now);
    void onPage(const ShortCall &call);
    void onFailure(const ShortCall &call, const char *action);
    void write(const QuarantineEntry &entry, TimePoint now);
    void onWritten(const ShortCall &call, const QuarantineEntry &entry);

    EventLoop &m_loop;
    HttpClientPool &m_client;
    const StoreProtocol &m_protocol;
    const SocketAddress m_store;
    PromptGuard &m_promptGuard;
    LineSink &m_log;
    const std::function<void()> m_onRead;
    std::unique_ptr<ShortCall> m_call;
    TimePoint m_nextCallAt;
    unsigned m_readFailures = 0;
    bool m_isRead = false;
    std::string m_lastName; // Of the last page that was read.
    std::map<PromptPart, std::uint64_t> m_storedRevisions;
    std::set<PromptPart> m_existing; // Parts whose object exists.
};

} // namespace burdockhead
