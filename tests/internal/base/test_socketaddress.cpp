#include <burdockhead/base/requestid.h>
#include <burdockhead/base/socketaddress.h>

#include <property.h>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(SocketAddresses)

BOOST_AUTO_TEST_CASE(an_address_reads_back_from_its_text)
{
    const auto address = SocketAddress::parse("127.0.0.1:8080");
    BOOST_REQUIRE(address.has_value());
    BOOST_TEST(address->m_port == 8080);
    BOOST_TEST(address->toString() == "127.0.0.1:8080");
}

BOOST_AUTO_TEST_CASE(names_and_bad_ports_are_not_addresses)
{
    for (const char *text : {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000",
                             "127.0.0.1:8x", "", ":80", "1.2.3:80"})
        BOOST_TEST(!SocketAddress::parse(text).has_value(), text);
}

BOOST_AUTO_TEST_CASE(a_request_id_reads_back_from_its_text)
{
    checkProperty("round trip", [](std::uint64_t high, std::uint64_t low) {
        const RequestId id{high, low};
        RC_ASSERT(RequestId::parse(id.toString()) == id);
    });
    BOOST_TEST(!RequestId::parse("zz").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
