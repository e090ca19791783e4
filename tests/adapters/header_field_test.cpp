#include "adapters/h2o/response_parser.h"
#include "adapters/http1/message_parser.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

namespace cornelswitch {
namespace {

const std::string with_length = "Content-Length: 2\r\n";

auto response(const std::string& lines) -> std::string
{
    return "HTTP/1.1 200 OK\r\n" + lines + "\r\nok";
}

/// Whether the gateway's parser accepts `bytes`, which arrive in pieces of `piece` bytes.
auto gateway_accepts(http1_kind kind, std::string_view bytes, std::size_t piece) -> bool
{
    bool has_head = false;
    http1_parser::handlers handlers;
    handlers.on_head = [&](const http1_head&) { has_head = true; };
    http1_parser parser{kind, 4096, std::move(handlers)};
    for (std::size_t at = 0; at < bytes.size();) {
        auto n = parser.feed(bytes.substr(at, piece));
        if (n.has_error()) {
            return false;
        }
        at += n.value();
    }
    return has_head;
}

/// The same for the parser of cornelswitchd, which gets the bytes that it did not use again.
auto daemon_accepts(std::string_view bytes, std::size_t piece) -> bool
{
    bool has_head = false;
    response_parser::handlers handlers;
    handlers.on_head = [&](const response_head&) { has_head = true; };
    response_parser parser{false, std::move(handlers)};
    std::size_t used = 0;
    for (std::size_t end = piece; used < bytes.size() && !parser.is_done(); end += piece) {
        auto n = parser.feed(bytes.substr(used, std::min(end, bytes.size()) - used));
        if (n.has_error()) {
            return false;
        }
        used += n.value();
    }
    return has_head;
}

/// Whether both parsers give `expected`, however the bytes arrive.
auto check_response(const std::string& bytes, bool expected) -> void
{
    for (auto piece : {bytes.size(), std::size_t{1}, std::size_t{7}}) {
        BOOST_TEST_CONTEXT(bytes << " in pieces of " << piece)
        {
            BOOST_TEST(gateway_accepts(http1_kind::response, bytes, piece) == expected);
            BOOST_TEST(daemon_accepts(bytes, piece) == expected);
        }
    }
}

BOOST_AUTO_TEST_SUITE(a_header_field)

BOOST_AUTO_TEST_SUITE(whose_name_is_no_token)

// Guards against a field of a server in trouble that reaches the caller, or whose name one reader
// takes for that of the framing and another does not.
BOOST_AUTO_TEST_CASE(makes_a_response_invalid)
{
    for (const std::string line :
         {"X A: 1", "X-A : 1", "Content-Length : 2", "Transfer-Encoding : chunked",
          "Con nection: close", " : 1", ": 1", "X-A", "X\tA: 1", "X-A\t: 1", "X\001A: 1",
          "X\177A: 1", "X\rA: 1"}) {
        check_response(response(line + "\r\n" + with_length), false);
        check_response(response(with_length + line + "\r\n"), false);
    }
    check_response(response(std::string{"X\0A: 1\r\n", 8} + with_length), false);
}

BOOST_AUTO_TEST_CASE(makes_a_response_invalid_after_an_interim_one)
{
    check_response("HTTP/1.1 100 Continue\r\n\r\n" + response("X A: 1\r\n" + with_length), false);
}

// Guards against a request whose body ends elsewhere for the server than for the gateway.
BOOST_AUTO_TEST_CASE(makes_a_request_invalid)
{
    const std::string start = "POST / HTTP/1.1\r\nhost: h\r\n";
    BOOST_TEST(gateway_accepts(http1_kind::request, start + "a: b\r\n\r\n", 1));
    BOOST_TEST(!gateway_accepts(http1_kind::request,
                                start + "transfer-encoding : chunked\r\n\r\n0\r\n\r\n", 1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_line_begins_with_a_blank)

// Guards against a field that is appended to the value before it, so that a body in chunks, or a
// part of the next response, is passed on as the body.
BOOST_AUTO_TEST_CASE(makes_a_response_invalid)
{
    for (const std::string line :
         {" Content-Length: 2", "\tTransfer-Encoding: chunked", " X-A: 1", " ", "\t"}) {
        check_response(response(line + "\r\n" + with_length), false);
        check_response(response(with_length + line + "\r\n"), false);
        check_response(response("X-B:\r\n" + line + "\r\n" + with_length), false);
        check_response("HTTP/1.1 100 Continue\r\n\r\n" + response(with_length + line + "\r\n"),
                       false);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_unusual_but_valid)

// Guards against a check that rejects responses of sound servers.
BOOST_AUTO_TEST_CASE(is_accepted)
{
    for (const std::string line : {"X-Empty:", "X-Empty: ", "X-A:\t 1 \t", "X-A: a b\tc",
                                   "X-A: a: b", "!#$%&'*+-.^_`|~9a: 1", "x: \xc3\xa9"}) {
        check_response(response(line + "\r\n" + with_length), true);
        check_response(response(with_length + line + "\r\n"), true);
    }
    check_response("HTTP/1.1 599 \r\n" + with_length + "\r\nok", true);
    check_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "4\r\n\r\n k\r\n0\r\n\r\n",
                   true);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
