#pragma once

#include <burdockhead/entry/keybinder.h>
#include <burdockhead/idempotency/claimservice.h>

namespace burdockhead {

class WorkerPool;

// Binds keys by claims stored in the platform. A ticket key contains its binding, so it needs
// no claim.
class ClaimKeyBinder : public KeyBinder
{
public:
    ClaimKeyBinder(ObjectApi &platform, WorkerPool &pool);

    void bind(const std::string &workspace, const std::string &key, const Binding &proposal,
              TimePoint deadline, Handler handler) override;
    void find(const std::string &workspace, const std::string &key, TimePoint deadline,
              Handler handler) override;

    ClaimServiceCounters counters() const;

private:
    // Returns true when the key has the form of a ticket, valid or not; the handler is then
    // called on a worker thread.
    bool resolveTicket(const std::string &key, const Handler &handler);

    WorkerPool &m_pool;
    ClaimService m_claims;
};

} // namespace burdockhead
