#include <burdockhead/http/httpclient.h>
#include <burdockhead/platform/httpobjectapi.h>

#include <boost/test/unit_test.hpp>

#include <freeport.h>
#include <platformstandin.h>

using namespace burdockhead;

namespace {

struct Platform
{
    SocketAddress m_address = freeLoopbackAddress();
    PlatformStandIn m_standIn{m_address};
    std::string m_url = "http://" + m_address.toString();
    // The first server can't be reached, so reads go on to the second.
    HttpObjectApi m_api{{"http://" + freeLoopbackAddress().toString(), m_url + "/"}};
    HttpClient m_client;

    Platform() { BOOST_REQUIRE(m_standIn.start()); }

    std::string control(const std::string &method, const std::string &path, const std::string &body)
    {
        Failure failure;
        HttpClientCall call;
        call.m_method = method;
        call.m_url = m_url + path;
        call.m_body = body;
        call.m_deadline = soon();
        const auto response = m_client.callAndWait(call, failure);
        BOOST_REQUIRE(response.has_value());
        return response->m_body;
    }

    static TimePoint soon() { return Clock::now() + Seconds(20); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpObjectApis)

BOOST_AUTO_TEST_CASE(objects_are_read_written_and_watched)
{
    Platform platform;
    HttpObjectApi &api = platform.m_api;
    const ReadAnswer missing = api.read("kind", "a/b c", Platform::soon());
    BOOST_TEST(missing.m_answered);
    BOOST_TEST(!missing.m_object.has_value());
    const std::string value("\xff\0binary", 8);
    const PlatformObject object{"kind", "a/b c", 0, value};
    BOOST_TEST((api.write(object, Platform::soon()).m_result == WriteResult::Applied));
    BOOST_TEST((api.write(object, Platform::soon()).m_result == WriteResult::Conflict));
    const ReadAnswer read = api.read("kind", "a/b c", Platform::soon());
    BOOST_REQUIRE(read.m_object.has_value());
    BOOST_TEST(read.m_object->m_value == value);
    BOOST_TEST(api.watch("kind", "a/b c", 0, Platform::soon()).m_object->m_version == 1U);
    const ReadAnswer same = api.watch("kind", "a/b c", 1, Clock::now() + Milliseconds(500));
    BOOST_TEST(!same.m_object.has_value());
    const PlatformObject large{"kind", "large", 0, std::string((1 << 20) + 1, 'x')};
    BOOST_TEST((api.write(large, Platform::soon()).m_result != WriteResult::Applied));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_unknown_and_the_write_is_sent_once)
{
    Platform platform;
    HttpObjectApi api({platform.m_url});
    platform.control("POST", "/faults", R"({"lose_answer_next":1})");
    const WriteAnswer answer =
        api.write({"kind", "name", 0, "value"}, Clock::now() + Milliseconds(500));
    BOOST_TEST((answer.m_result == WriteResult::Unknown));
    BOOST_TEST(api.read("kind", "name", Platform::soon()).m_object->m_version == 1U);
    BOOST_TEST(platform.control("GET", "/stats", "").find(R"("write":1)") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_outage_is_told_from_a_missing_object)
{
    Platform platform;
    platform.m_standIn.setDown(true);
    BOOST_TEST(!platform.m_api.read("kind", "name", Platform::soon()).m_answered);
    BOOST_TEST(!platform.m_api.listVms(Platform::soon()).has_value());
}

BOOST_AUTO_TEST_CASE(the_list_of_vms_reads_back)
{
    Platform platform;
    platform.control("PUT", "/vms",
                     R"([{"name":"e","role":"entry","data_centre":"a","control":"127.0.0.1:9"}])");
    const auto vms = platform.m_api.listVms(Platform::soon());
    BOOST_REQUIRE((vms && vms->size() == 1U));
    BOOST_TEST(vms->front().m_control.m_port == 9);
    BOOST_TEST((vms->front().m_role == VmRole::Entry));
}

BOOST_AUTO_TEST_SUITE_END()
