#include <burdockhead/idempotency/ticket.h>

#include <property.h>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(Tickets)

BOOST_AUTO_TEST_CASE(a_ticket_round_trips)
{
    checkProperty("round trip", [](const std::string &name, std::uint64_t incarnation,
                                   std::uint64_t issuer, std::uint64_t number) {
        RC_PRE(!name.empty() && name.size() < 200);
        const Ticket ticket{EndpointName(name), Incarnation{incarnation}, issuer, number};
        RC_ASSERT(Ticket::parse(ticket.toString()) == ticket);
    });
}

BOOST_AUTO_TEST_CASE(a_ticket_with_any_character_changed_is_refused)
{
    checkProperty("one changed character", [](std::uint64_t issuer, std::uint64_t number) {
        const Ticket ticket{EndpointName("engine.a-1"), Incarnation{7}, issuer, number};
        std::string text = ticket.toString();
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        const char other = *rc::gen::arbitrary<char>();
        RC_PRE(other != text[position]);
        text[position] = other;
        RC_ASSERT(!Ticket::parse(text));
    });
}

BOOST_AUTO_TEST_CASE(text_that_is_not_a_ticket_is_refused)
{
    for (const char *text : {"", "tk1.", "tk1.a.1.2.3", "tk1..1.2.3.4", "order-17"})
        BOOST_TEST(!Ticket::parse(text));
}

BOOST_AUTO_TEST_SUITE_END()
