#include "property.h"
#include <burdockhead/net/httpmessageparser.h>

using namespace burdockhead;

namespace {

struct Collected : HttpMessageSink
{
    void messageHead(HttpHead head) override { m_head = std::move(head); }
    void messageBody(std::string_view bytes) override { m_body.append(bytes); }

    HttpHead m_head;
    std::string m_body;
};

const std::string chunkedAnswer =
    "HTTP/1.1 200 OK\r\nX-Seal: s.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(Parser)

BOOST_AUTO_TEST_CASE(a_message_is_read_alike_in_any_pieces)
{
    checkProperty("pieces make no difference", [](const std::vector<unsigned> &cuts) {
        Collected sink;
        HttpMessageParser parser(HttpMessageType::Response, sink);
        std::size_t at = 0;
        for (const unsigned cut : cuts) {
            const std::size_t length = std::min<std::size_t>(cut % 30, chunkedAnswer.size() - at);
            RC_ASSERT(parser.feed(std::string_view(chunkedAnswer).substr(at, length)) == length);
            at += length;
        }
        parser.feed(std::string_view(chunkedAnswer).substr(at));
        RC_ASSERT(parser.isComplete());
        RC_ASSERT(sink.m_head.m_status == 200);
        RC_ASSERT(sink.m_head.m_headers.front().m_value == "s.1");
        RC_ASSERT(sink.m_body == "abcdefg");
    });
}

BOOST_AUTO_TEST_CASE(what_follows_a_message_is_left)
{
    Collected sink;
    HttpMessageParser parser(HttpMessageType::Response, sink);
    BOOST_TEST(parser.feed(chunkedAnswer + "HTTP/1.1 200 OK\r\n") == chunkedAnswer.size());
    BOOST_TEST(parser.isComplete());
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_ends_with_its_connection)
{
    Collected sink;
    HttpMessageParser parser(HttpMessageType::Response, sink);
    parser.feed("HTTP/1.1 200 OK\r\n\r\npart");
    BOOST_TEST(sink.m_head.m_endsWithConnection);
    BOOST_TEST(!parser.isComplete());
    parser.finish();
    BOOST_TEST(parser.isComplete());
    BOOST_TEST(sink.m_body == "part");
}

BOOST_AUTO_TEST_CASE(an_answer_that_is_cut_short_is_malformed)
{
    for (const std::string answer :
         {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab"}) {
        Collected sink;
        HttpMessageParser parser(HttpMessageType::Response, sink);
        parser.feed(answer);
        parser.finish();
        BOOST_TEST(!parser.isComplete());
        BOOST_TEST(parser.isMalformed());
    }
}

BOOST_AUTO_TEST_CASE(a_request_with_two_lengths_is_malformed)
{
    for (const std::string request :
         {"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
          "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "BLA / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nBad Header: x\r\n\r\n"}) {
        Collected sink;
        HttpMessageParser parser(HttpMessageType::Request, sink);
        parser.feed(request);
        BOOST_TEST(parser.isMalformed(), request);
    }
}

BOOST_AUTO_TEST_CASE(the_answer_to_head_has_no_body)
{
    Collected sink;
    HttpMessageParser parser(HttpMessageType::Response, sink);
    parser.reset(true);
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    BOOST_TEST(parser.isComplete());
}

// An endpoint in trouble sent status 000: its clients waited until their time limit, and got 600
// and 999 as answers.
BOOST_AUTO_TEST_CASE(a_status_that_no_response_can_have_is_malformed)
{
    for (const std::string status : {"000", "001", "099", "101", "600", "999", "20", "99", "0200",
                                     "2000", "-20", "2x0", " 200", ""}) {
        Collected sink;
        HttpMessageParser parser(HttpMessageType::Response, sink);
        parser.feed("HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok");
        BOOST_TEST(parser.isMalformed(), status);
        BOOST_TEST(!parser.hasHead(), status);
    }
    for (const std::string status : {"100 C", "199 X", "200", "204 N", "299 X", "404 N", "599 X"}) {
        Collected sink;
        HttpMessageParser parser(HttpMessageType::Response, sink);
        parser.feed("HTTP/1.1 " + status + "\r\n\r\n");
        BOOST_TEST(parser.hasHead(), status);
    }
}

BOOST_AUTO_TEST_CASE(a_status_is_checked_in_any_pieces)
{
    for (const std::string answer : {"\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 000 X\r\n\r\n"}) {
        Collected sink;
        HttpMessageParser parser(HttpMessageType::Response, sink);
        for (const char byte : answer)
            parser.feed({&byte, 1});
        BOOST_TEST(parser.isMalformed() == (answer.find("000") != std::string::npos), answer);
    }
}

BOOST_AUTO_TEST_CASE(a_response_that_announces_a_body_where_none_may_be_is_malformed)
{
    for (const std::string status : {"100", "199", "204", "205"}) {
        for (const std::string field : {"Content-Length: 50", "Transfer-Encoding: chunked"}) {
            Collected sink;
            HttpMessageParser parser(HttpMessageType::Response, sink);
            std::string head = "HTTP/1.1 ";
            head.append(status).append(" X\r\n").append(field).append("\r\n\r\n");
            parser.feed(head);
            BOOST_TEST(parser.isMalformed(), head);
        }
    }
}

// Bytes behind such an answer once reached its client, on a connection that went on.
BOOST_AUTO_TEST_CASE(a_response_without_a_body_ends_with_its_head)
{
    for (const std::string head : {"HTTP/1.1 204 No Content\r\n\r\n",
                                   "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n",
                                   "HTTP/1.1 304 Not Modified\r\nContent-Length: 50\r\n\r\n",
                                   "HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
        Collected sink;
        HttpMessageParser parser(HttpMessageType::Response, sink);
        BOOST_TEST(parser.feed(head + std::string(50, 'x')) == head.size(), head);
        BOOST_TEST(parser.isComplete(), head);
        BOOST_TEST(sink.m_body.empty(), head);
        BOOST_TEST(sink.m_head.m_keepsConnection == (head.find("304") == std::string::npos), head);
    }
}

BOOST_AUTO_TEST_SUITE_END()
