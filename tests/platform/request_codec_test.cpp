#include "platform/request_codec.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto caller_head() -> http1_head
{
    http1_head out;
    out.method = "GET";
    out.target = "/x/1?q=2";
    out.headers = {{"host", "h.example"},      {"x-request-id", "abc"},
                   {"x-deadline-ms", "1500"},  {"x-shard-key", "41210"},
                   {"accept", "*/*"},          {"connection", "keep-alive"},
                   {"x-expect-instance", "me"}};
    return out;
}

BOOST_AUTO_TEST_SUITE(caller_request_codec)

BOOST_AUTO_TEST_CASE(is_decoded_into_its_fields)
{
    auto it = decode_caller_request(caller_head().headers);
    BOOST_TEST(it.id == "abc");
    BOOST_TEST((it.deadline == milliseconds{1500}));
    BOOST_TEST(*it.key == 41'210);
}

BOOST_AUTO_TEST_CASE(may_lack_every_platform_header)
{
    auto it = decode_caller_request({});
    BOOST_TEST(it.id.empty());
    BOOST_TEST(!it.deadline.has_value());
    BOOST_TEST(!it.key.has_value());
}

BOOST_AUTO_TEST_CASE(is_decoded_without_malformed_fields)
{
    auto it = decode_caller_request({{"x-deadline-ms", "soon"}, {"x-shard-key", "70000"}});
    BOOST_TEST(!it.deadline.has_value());
    BOOST_TEST(!it.key.has_value());
}

BOOST_AUTO_TEST_CASE(is_forwarded_with_the_remaining_deadline_and_the_expected_server)
{
    auto text = encode_server_request(caller_head(), server_id{"i-1"}, milliseconds{700}, 12);
    BOOST_TEST(text.starts_with("GET /x/1?q=2 HTTP/1.1\r\n"));
    BOOST_TEST(text.find("x-request-id: abc\r\n") != std::string::npos);
    BOOST_TEST(text.find("x-deadline-ms: 700\r\n") != std::string::npos);
    BOOST_TEST(text.find("1500") == std::string::npos);
    BOOST_TEST(text.find("x-expect-instance: i-1\r\n") != std::string::npos);
    BOOST_TEST(text.find("x-expect-instance: me") == std::string::npos);
    BOOST_TEST(text.find("accept: */*\r\n") != std::string::npos);
    BOOST_TEST(text.find("connection") == std::string::npos);
    BOOST_TEST(text.find("content-length: 12\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(server_response_codec)

BOOST_AUTO_TEST_CASE(is_decoded_into_its_fields)
{
    http1_head head;
    head.status = 200;
    head.headers = {{"x-request-id", "abc"},
                    {"x-response-seal", "3e1b"},
                    {"x-server-load", "3, 0,8,250"},
                    {"x-instance-id", "i-1"},
                    {"keep-alive", "timeout=10, max=5"}};
    auto it = decode_server_response(head);
    BOOST_TEST(it.is_sealed);
    BOOST_TEST(!it.is_not_run);
    BOOST_TEST(it.load->running == 3U);
    BOOST_TEST(it.load->slots == 8U);
    BOOST_TEST(it.load->slowness_percent == 250U);
    BOOST_TEST((it.keep_alive == seconds{10}));
    BOOST_TEST(it.server->value() == "i-1");
}

BOOST_AUTO_TEST_CASE(states_that_the_request_was_not_executed)
{
    http1_head rejected;
    rejected.status = 503;
    rejected.headers = {{"x-not-executed", "1"}};
    BOOST_TEST(decode_server_response(rejected).is_not_run);
    http1_head failed;
    failed.status = 503;
    BOOST_TEST(!decode_server_response(failed).is_not_run);
    http1_head misdirected;
    misdirected.status = 421;
    BOOST_TEST(decode_server_response(misdirected).is_not_run);
}

BOOST_AUTO_TEST_CASE(is_decoded_without_a_malformed_load)
{
    for (const auto* text : {"", "1,2", "a,b,c", "1,2,99999999999999999999"}) {
        http1_head head;
        head.headers = {{"x-server-load", text}};
        BOOST_TEST(!decode_server_response(head).load.has_value());
    }
}

BOOST_AUTO_TEST_CASE(may_announce_the_servers_shutdown)
{
    http1_head head;
    head.status = 200;
    BOOST_TEST(!decode_server_response(head).has_announced_shutdown);
    head.headers = {{"server-leaving", "1"}};
    BOOST_TEST(decode_server_response(head).has_announced_shutdown);
}

BOOST_AUTO_TEST_CASE(may_name_the_servers_rate_limit)
{
    auto decode = [](const std::vector<std::string>& values) {
        http1_head head;
        head.status = 200;
        for (const auto& it : values) {
            head.headers.push_back({"server-limit", it});
        }
        return decode_server_response(head);
    };
    BOOST_TEST(!decode({}).rate_limit.has_value());
    BOOST_TEST(!decode({}).has_malformed_rate_limit);
    BOOST_TEST(decode({"3.2"}).rate_limit.value() == 3.2);
    BOOST_TEST(decode({"0"}).rate_limit.value() == 0.0);
    BOOST_TEST(decode({"12"}).rate_limit.value() == 12.0);
    // A malformed limit is neither a limit nor the end of an earlier one.
    for (const auto* text :
         {"", " ", "-1", "-0", "nan", "inf", "-inf", "1e400", "few", "3.2 a second", "0x10"}) {
        BOOST_TEST(decode({text}).has_malformed_rate_limit, text);
        BOOST_TEST(!decode({text}).rate_limit.has_value(), text);
    }
    for (const auto& twice : std::vector<std::vector<std::string>>{
             {"3", "3"}, {"3", "4"}, {"3", "few"}, {"few", "3"}}) {
        BOOST_TEST(decode(twice).has_malformed_rate_limit);
        BOOST_TEST(!decode(twice).rate_limit.has_value());
    }
}

BOOST_AUTO_TEST_CASE(sets_a_hold_off_by_retry_after_with_status_503)
{
    auto hold_off = [](int status, const std::string& value) {
        http1_head head;
        head.status = status;
        head.headers = {{"retry-after", value}};
        return decode_server_response(head).hold_off;
    };
    BOOST_TEST((hold_off(503, "2") == seconds{2}));
    BOOST_TEST((hold_off(503, "0.25") == milliseconds{250}));
    BOOST_TEST((hold_off(503, "1e9") == std::chrono::hours{1}));
    for (const auto* text : {"", "0", "-3", "nan", "inf", "soon", "2 s", "Fri, 04 Dec 2026"}) {
        BOOST_TEST((hold_off(503, text) == duration::zero()), text);
    }
    BOOST_TEST((hold_off(200, "2") == duration::zero()));
}

BOOST_AUTO_TEST_CASE(is_forwarded_without_its_connection_headers)
{
    http1_head head;
    head.status = 200;
    head.length = 5;
    head.headers = {{"x-response-seal", "3e1b"}, {"connection", "close"}, {"content-length", "9"}};
    auto text = encode_caller_response(head, body_framing::length, true);
    BOOST_TEST(text.find("x-response-seal: 3e1b\r\n") != std::string::npos);
    BOOST_TEST(text.find("content-length: 5\r\n") != std::string::npos);
    BOOST_TEST(text.find("content-length: 9") == std::string::npos);
    BOOST_TEST(text.find("close") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_refusal_carries_retry_after)
{
    auto text = encode_gateway_response(503, "abc", "overload", milliseconds{250}, false, true);
    BOOST_TEST(text.starts_with("HTTP/1.1 503 Service Unavailable\r\n"));
    BOOST_TEST(text.find("Retry-After: 0.250\r\n") != std::string::npos);
    BOOST_TEST(text.find("Connection: close\r\n") != std::string::npos);
    BOOST_TEST(text.ends_with("{\"Error\":\"overload\"}"));
}

} // namespace
} // namespace cornelswitch
