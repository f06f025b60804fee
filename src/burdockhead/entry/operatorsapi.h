#pragma once

#include <burdockhead/http/httprequest.h>
#include <burdockhead/http/httpresponder.h>

#include <memory>

namespace burdockhead {

class EventRing;
class MembershipService;

// Serves the paths that an entry adds to the operators' port: /configuration and /members.
class OperatorsApi
{
public:
    OperatorsApi(MembershipService &membership, EventRing &events);

    // Handles one request. A configuration change blocks the thread until it has been applied,
    // refused or timed out.
    void handle(const HttpRequest &request, HttpResponder &responder);

private:
    void showConfiguration(HttpResponder &responder);
    void changeConfiguration(const HttpRequest &request, HttpResponder &responder);
    void listMembers(HttpResponder &responder);

    MembershipService &m_membership;
    EventRing &m_events;
};

} // namespace burdockhead
