#include <burdockhead/net/connectionheaders.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(ConnectionHeadersTest)

BOOST_AUTO_TEST_CASE(known_headers_concern_the_connection_in_any_case)
{
    const HttpHeaders headers;
    const ConnectionHeaders connectionHeaders(headers);
    BOOST_TEST(connectionHeaders.contains("transfer-ENCODING"));
    BOOST_TEST(connectionHeaders.contains("Connection"));
    BOOST_TEST(!connectionHeaders.contains("Host"));
    BOOST_TEST(!connectionHeaders.contains(""));
}

BOOST_AUTO_TEST_CASE(headers_that_connection_headers_name_concern_the_connection)
{
    const HttpHeaders headers = {
        {"Connection", "x-b, X-A,,\tx-c "}, {"X-D", "x-e"}, {"connection", "close,X-F"}};
    const ConnectionHeaders connectionHeaders(headers);
    for (const char *name : {"X-A", "x-B", "X-C", "x-f", "Close"})
        BOOST_TEST(connectionHeaders.contains(name), name);
    for (const char *name : {"X-D", "X-E", "X-", "X-AA"})
        BOOST_TEST(!connectionHeaders.contains(name), name);
}

BOOST_AUTO_TEST_SUITE_END()
