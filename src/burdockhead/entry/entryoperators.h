#pragma once

#include <burdockhead/http/httprequest.h>
#include <burdockhead/http/httpresponder.h>

#include <memory>

namespace burdockhead {

class EventRing;
class MembershipService;

// The paths that an entry adds to the operators' port: /configuration and /members.
class EntryOperators
{
public:
    EntryOperators(MembershipService &membership, EventRing &events);

    // Answers one request; a change of the configuration blocks the thread until it is
    // accepted or given up.
    void handle(const HttpRequest &request, HttpResponder &responder);

private:
    void showConfiguration(HttpResponder &responder);
    void changeConfiguration(const HttpRequest &request, HttpResponder &responder);
    void listMembers(HttpResponder &responder);

    MembershipService &m_membership;
    EventRing &m_events;
};

} // namespace burdockhead
