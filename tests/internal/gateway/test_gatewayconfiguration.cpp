#include <burdockhead/gateway/gatewayconfiguration.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.m_name = name;
    route.m_host = host;
    route.m_pathPrefix = prefix;
    return route;
}

const GatewayConfiguration
    configuration(7,
                  {route("root", "a.example", "/"), route("long", "a.example", "/x/y/"),
                   route("short", "a.example", "/x/"), route("other", "b.example", "/x/")},
                  {}, {{WorkspaceName("w"), {"key-1", "key-2"}, std::nullopt}}, {});

std::string findRouteName(const std::string &host, const std::string &path)
{
    const Route *route = configuration.findRoute(host, path);
    return route == nullptr ? "none" : route->m_name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Routes)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    BOOST_TEST(findRouteName("a.example", "/x/y/z") == "long");
    BOOST_TEST(findRouteName("a.example", "/x/y") == "short");
    BOOST_TEST(findRouteName("a.example", "/x/z/y/") == "short");
    BOOST_TEST(findRouteName("a.example", "/xy") == "root");
    BOOST_TEST(findRouteName("b.example", "/x/y/z") == "other");
    BOOST_TEST(findRouteName("b.example", "/y/") == "none");
    BOOST_TEST(findRouteName("c.example", "/x/") == "none");
}

BOOST_AUTO_TEST_CASE(query_port_and_case_of_the_host_are_ignored)
{
    BOOST_TEST(findRouteName("A.Example:8080", "/x/y/z?q=/x/") == "long");
    BOOST_TEST(findRouteName("a.example", "/q?x=/x/y/") == "root");
}

BOOST_AUTO_TEST_CASE(a_credential_identifies_its_workspace)
{
    BOOST_TEST(configuration.findWorkspace("key-2")->m_name.text() == "w");
    BOOST_TEST(configuration.findWorkspace("key-3") == nullptr);
    BOOST_TEST(configuration.findWorkspace("") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
