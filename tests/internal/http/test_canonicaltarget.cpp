#include "property.h"
#include <burdockhead/http/canonicaltarget.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(CanonicalTarget)

BOOST_AUTO_TEST_CASE(one_target_written_in_different_ways_has_one_form)
{
    BOOST_TEST(canonicalTarget("/a%7eb%2f?y=2&x=%31") == "/a~b%2F?x=1&y=2");
    BOOST_TEST(canonicalTarget("/a~b%2F?x=1&y=2") == "/a~b%2F?x=1&y=2");
    BOOST_TEST(canonicalTarget("/a") == "/a");
}

BOOST_AUTO_TEST_CASE(what_may_mean_something_else_stays_as_it_is)
{
    for (const char *target : {"/a/", "/A", "/a%2Fb", "/a?x=1%26y=2", "/a?x=+", "/a?", "/%", "/%4",
                               "/%zz", "/%25%34%31"})
        BOOST_TEST(canonicalTarget(target) == canonicalTarget(canonicalTarget(target)));
    BOOST_TEST(canonicalTarget("/a%2Fb") != canonicalTarget("/a/b"));
    BOOST_TEST(canonicalTarget("/a?x=1%26y=2") != canonicalTarget("/a?x=1&y=2"));
    BOOST_TEST(canonicalTarget("/a?") != canonicalTarget("/a"));
    BOOST_TEST(canonicalTarget("/%4") == "/%4");
}

BOOST_AUTO_TEST_CASE(any_bytes_have_a_form_that_is_not_longer)
{
    checkProperty("targets that callers choose", [] {
        const auto target = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(canonicalTarget(target).size() <= target.size());
    });
}

BOOST_AUTO_TEST_SUITE_END()
