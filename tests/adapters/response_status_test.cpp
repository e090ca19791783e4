#include "adapters/h2o/response_parser.h"
#include "adapters/http1/message_parser.h"
#include "adapters/response_status.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace cornelswitch {
namespace {

auto response(const std::string& status, const std::string& headers = "content-length: 2\r\n")
    -> std::string
{
    return "HTTP/1.1 " + status + " X\r\n" + headers + "\r\nok";
}

/// Whether the gateway's parser accepts `bytes` as a response.
auto gateway_accepts(const std::string& bytes) -> bool
{
    bool has_head = false;
    http1_parser::handlers handlers;
    handlers.on_head = [&](const http1_head&) { has_head = true; };
    http1_parser parser{http1_kind::response, 4096, std::move(handlers)};
    return parser.feed(bytes).has_value() && has_head;
}

/// Whether the parser of cornelswitchd accepts `bytes` as a response.
auto daemon_accepts(const std::string& bytes) -> bool
{
    bool has_head = false;
    response_parser::handlers handlers;
    handlers.on_head = [&](const response_head&) { has_head = true; };
    response_parser parser{false, std::move(handlers)};
    return parser.feed(bytes).has_value() && has_head;
}

BOOST_AUTO_TEST_SUITE(a_response_status)

BOOST_AUTO_TEST_CASE(is_accepted_from_200_to_599)
{
    for (const auto* status : {"200", "204", "404", "503", "599"}) {
        auto headers = std::string{status} == "204" ? "" : "content-length: 2\r\n";
        BOOST_TEST(gateway_accepts(response(status, headers)), status);
        BOOST_TEST(daemon_accepts(response(status, headers)), status);
    }
}

// Guards against a server in trouble whose status 000, or another impossible one, reaches the
// caller as a response.
BOOST_AUTO_TEST_CASE(is_rejected_when_no_server_may_send_it)
{
    for (const auto* status :
         {"000", "001", "099", "101", "600", "999", "1000", "20", "-20", "abc"}) {
        BOOST_TEST(!gateway_accepts(response(status)), status);
        BOOST_TEST(!daemon_accepts(response(status)), status);
    }
}

// Guards against two readings of where the body ends.
BOOST_AUTO_TEST_CASE(is_rejected_with_two_lengths_or_a_malformed_one)
{
    for (const auto* headers :
         {"content-length: 2\r\ncontent-length: 3\r\n", "content-length: two\r\n",
          "content-length: -2\r\n", "content-length: 99999999999999999999999\r\n"}) {
        BOOST_TEST(!gateway_accepts(response("200", headers)), headers);
        BOOST_TEST(!daemon_accepts(response("200", headers)), headers);
    }
}

// Guards against a status that is passed on as proof although callers repeat requests after it.
BOOST_AUTO_TEST_CASE(promises_that_the_request_was_not_executed)
{
    for (int status : {408, 421, 429, 503}) {
        BOOST_TEST(promises_no_execution(status), status);
    }
    for (int status : {200, 400, 404, 409, 500, 502, 504}) {
        BOOST_TEST(!promises_no_execution(status), status);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
