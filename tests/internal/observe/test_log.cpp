#include <burdockhead/observe/log.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(Log)

BOOST_AUTO_TEST_CASE(a_line_consists_of_key_value_pairs)
{
    BOOST_TEST(logLine(LogLevel::Info, "e1", "configuration_applied", {{"version", 3}})
               == "level=info process=e1 event=configuration_applied version=3");
    BOOST_TEST(logLine(LogLevel::Error, "e1", "x", {{"why", "say \"no\"\nnow"}})
               == "level=error process=e1 event=x why=\"say \\\"no\\\" now\"");
}

BOOST_AUTO_TEST_SUITE_END()
