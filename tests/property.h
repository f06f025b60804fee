#pragma once

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>
#include <string>

namespace burdockhead {

// Runs a RapidCheck property inside a Boost test case; RapidCheck prints the seed and the
// shrunk counter-example when it fails.
template <typename Property>
void checkProperty(const std::string &description, Property &&property)
{
    BOOST_TEST(rc::check(description, std::forward<Property>(property)));
}

} // namespace burdockhead
