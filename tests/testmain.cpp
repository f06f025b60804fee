#define BOOST_TEST_MODULE burdockhead
#include <boost/test/unit_test.hpp>
