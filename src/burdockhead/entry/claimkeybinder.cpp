#include <burdockhead/entry/claimkeybinder.h>
#include <burdockhead/idempotency/ticket.h>
#include <burdockhead/observe/wallclock.h>
#include <burdockhead/transport/workerpool.h>

namespace burdockhead {

ClaimKeyBinder::ClaimKeyBinder(ObjectApi &platform, WorkerPool &pool)
    : m_pool(pool)
    , m_claims(platform, ClaimServiceOptions{}, wallMilliseconds)
{}

bool ClaimKeyBinder::resolveTicket(const std::string &key, const Handler &handler)
{
    if (!Ticket::hasTicketPrefix(key))
        return false;
    m_pool.post([key, handler] {
        const auto ticket = Ticket::parse(key);
        if (ticket)
            handler(Binding{ticket->m_endpoint, ticket->m_incarnation}, {});
        else
            handler(std::nullopt, {ErrorKind::MalformedRequest, "the ticket is damaged"});
    });
    return true;
}

void ClaimKeyBinder::bind(const std::string &workspace, const std::string &key,
                          const Binding &proposal, TimePoint deadline, Handler handler)
{
    if (resolveTicket(key, handler))
        return;
    // Posts the result, because claim() calls its handler synchronously when its queue is full.
    m_claims.claim({workspace + "\n" + key, proposal}, deadline,
                   [this, handler = std::move(handler)](const std::optional<Binding> &binding,
                                                        const Failure &failure) {
                       m_pool.post([handler, binding, failure] { handler(binding, failure); });
                   });
}

void ClaimKeyBinder::find(const std::string &workspace, const std::string &key, TimePoint deadline,
                          Handler handler)
{
    bind(workspace, key, {}, deadline, std::move(handler));
}

ClaimServiceCounters ClaimKeyBinder::counters() const
{
    return m_claims.counters();
}

} // namespace burdockhead
