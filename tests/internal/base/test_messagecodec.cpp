#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>

#include <property.h>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(MessageCodec)

BOOST_AUTO_TEST_CASE(a_reader_gives_back_what_a_writer_wrote)
{
    checkProperty("round trip", [](std::uint64_t number, bool flag, const std::string &text) {
        MessageWriter writer;
        writer.number(number).flag(flag).text(text).real(0.5);
        const std::string message = writer.take();
        MessageReader reader(message);
        RC_ASSERT(reader.number() == number);
        RC_ASSERT(reader.flag() == flag);
        RC_ASSERT(reader.text() == text);
        RC_ASSERT(reader.real() == 0.5);
        RC_ASSERT(reader.complete());
    });
}

BOOST_AUTO_TEST_CASE(any_bytes_leave_the_reader_bad_or_complete_but_never_crash)
{
    checkProperty("arbitrary bytes", [](const std::string &bytes) {
        MessageReader reader(bytes);
        reader.number();
        reader.text();
        reader.listLength(4);
        reader.flag();
        reader.real();
        RC_ASSERT(!reader.complete() || reader.ok());
    });
}

BOOST_AUTO_TEST_CASE(a_few_bytes_that_announce_a_huge_value_take_no_memory)
{
    // Heads of an array, a map and a binary of 2^32 - 1 items, as msgpack writes them.
    for (const char head : {'\xdd', '\xdf', '\xc6'}) {
        const std::string bytes = head + std::string(4, '\xff');
        MessageReader reader(bytes);
        reader.text();
        BOOST_TEST(!reader.ok());
    }
}

BOOST_AUTO_TEST_CASE(a_list_longer_than_its_limit_is_refused)
{
    MessageWriter writer;
    const std::string message = writer.number(5).take();
    MessageReader reader(message);
    BOOST_TEST(reader.listLength(4) == 0U);
    BOOST_TEST(!reader.ok());
}

BOOST_AUTO_TEST_SUITE_END()
