#include "property.h"
#include <burdockhead/quarantine/quarantinemessage.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

const GroupName service("llm");
const TimePoint sentAt = TimePoint(Seconds(100000));
const TimePoint receivedAt = TimePoint(Seconds(5)); // By another clock.

QuarantineMessage message()
{
    QuarantineMessage message;
    message.m_crashes.push_back({{EndpointName("e1"), 1777694836900},
                                 service,
                                 sentAt - Seconds(3),
                                 sentAt - Seconds(4),
                                 {"a", "b"}});
    message.m_soundParts.emplace_back(PromptPart{service, "a"}, sentAt - Milliseconds(20));
    QuarantineEntry entry;
    entry.m_part = {service, "b"};
    entry.m_revision = 3;
    entry.m_isActive = true;
    entry.m_level = 2;
    entry.m_changedAt = sentAt - Seconds(1);
    entry.m_probeAt = sentAt + Seconds(600);
    entry.m_outages = 4;
    entry.m_decidedBy = ProcessName("g7");
    message.m_entries.push_back(entry);
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineMessageTest)

BOOST_AUTO_TEST_CASE(times_are_read_by_the_clock_of_the_receiver)
{
    const auto read = readQuarantineMessage(writeQuarantineMessage(message(), sentAt), receivedAt);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->m_crashes.at(0).m_crashedAt == receivedAt - Seconds(3)));
    BOOST_TEST((read->m_soundParts.at(0).second == receivedAt - Milliseconds(20)));
    BOOST_TEST((read->m_entries.at(0).m_probeAt == receivedAt + Seconds(600)));
    const auto again = readQuarantineMessage(writeQuarantineMessage(*read, receivedAt), sentAt);
    BOOST_TEST((again.value() == message()));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_message_are_ignored)
{
    const std::string whole = writeQuarantineMessage(message(), sentAt);
    for (std::size_t length = 0; length < whole.size(); ++length)
        BOOST_TEST(!readQuarantineMessage(whole.substr(0, length), receivedAt).has_value());
    checkProperty("any bytes", [&] {
        std::string bytes = whole;
        const auto changes = *rc::gen::inRange(1, 8);
        for (int change = 0; change < changes; ++change)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        readQuarantineMessage(bytes, receivedAt);
    });
}

BOOST_AUTO_TEST_SUITE_END()
