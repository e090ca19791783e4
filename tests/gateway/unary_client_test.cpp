#include "gateway/unary_client.h"
#include "tests/adapters/loop_fixture.h"
#include "tests/gateway/fake_http_server.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <string>

namespace cornelswitch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server that sends its response in pieces, and a client of it.
struct slow_response_fixture : loop_fixture {
    auto call(duration max_response_time, int pieces) -> void
    {
        unary_client::options options;
        options.max_response_time = max_response_time;
        options.stall_timeout = milliseconds{150};
        client.emplace(loop, server.address(), options);
        pieces_left = pieces;
        client->call({}, milliseconds{200},
                     [this](result<http_response> response) { outcome = std::move(response); });
    }

    auto send_next(const received_request& request) -> void
    {
        if (pieces_left == 0) {
            return;
        }
        --pieces_left;
        request.send(std::string(10, 'x'));
        loop.schedule(milliseconds{60}, [this, request] { send_next(request); });
    }

    fake_http_server server{loop, [this](received_request request) {
                                request.send("HTTP/1.1 200 X\r\ncontent-length: 100\r\n\r\n");
                                send_next(request);
                            }};
    int pieces_left{0};
    std::optional<unary_client> client;
    std::optional<result<http_response>> outcome;
};

BOOST_FIXTURE_TEST_SUITE(a_unary_client, slow_response_fixture)

BOOST_AUTO_TEST_SUITE(with_a_response_that_arrives_slowly)

// Guards against a configuration that can never be read over a slow link: each read times out while
// its response is still arriving, and the next read starts from the beginning.
BOOST_AUTO_TEST_CASE(waits_while_bytes_arrive)
{
    call(seconds{2}, 10);
    run_until([&] { return outcome.has_value(); });
    BOOST_REQUIRE(outcome->has_value());
    BOOST_TEST(outcome->value().body.size() == 100U);
}

BOOST_AUTO_TEST_CASE(gives_up_when_no_more_bytes_arrive)
{
    call(seconds{2}, 4);
    auto started = loop.now();
    run_until([&] { return outcome.has_value(); });
    BOOST_TEST(outcome->has_error());
    BOOST_TEST((loop.now() - started < milliseconds{800}));
}

BOOST_AUTO_TEST_CASE(gives_up_after_the_maximum_response_time)
{
    call(milliseconds{300}, 10);
    run_until([&] { return outcome.has_value(); });
    BOOST_TEST(outcome->has_error());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// Guards against a second answer to one call, sent late, that is taken for the answer to the next.
BOOST_FIXTURE_TEST_CASE(a_client_that_does_not_reuse_connections, loop_fixture)
{
    int requests = 0;
    fake_http_server server{loop, [&](received_request request) {
                                ++requests;
                                if (requests > 1) {
                                    return;
                                }
                                auto answer = fake_http_server::response(200, "", "first");
                                request.send(answer);
                                loop.schedule(milliseconds{50},
                                              [request, answer] { request.send(answer); });
                            }};
    unary_client::options options;
    options.reuses_connections = false;
    unary_client client{loop, server.address(), options};
    int answers = 0;
    client.call({}, seconds{1}, [&](const result<http_response>&) { ++answers; });
    run_until([&] { return answers == 1; });
    client.call({}, seconds{1}, [&](const result<http_response>&) { ++answers; });
    run_for(milliseconds{300});
    BOOST_TEST(requests == 2);
    BOOST_TEST(answers == 1);
}

/// A client of a server that sends raw bytes.
struct raw_response_fixture : loop_fixture {
    auto call() -> result<http_response>
    {
        std::optional<result<http_response>> outcome;
        client.call({}, seconds{1},
                    [&](result<http_response> response) { outcome = std::move(response); });
        run_until([&] { return outcome.has_value(); });
        return std::move(*outcome);
    }

    std::function<void(const received_request&)> respond;
    fake_http_server server{loop, [this](const received_request& request) { respond(request); }};
    unary_client client{loop, server.address(), {}};
    std::string head{"HTTP/1.1 200 OK\r\n\r\n"};
};

BOOST_FIXTURE_TEST_SUITE(a_response_without_a_length, raw_response_fixture)

// Guards against a reset connection that ends a truncated response of the store, or of a server
// that is called for its keys or its health, as if it were complete.
BOOST_AUTO_TEST_CASE(is_an_error_when_its_connection_is_reset)
{
    respond = [&](const received_request& request) {
        request.send(head + "part");
        request.reset();
    };
    BOOST_TEST(call().has_error());
}

BOOST_AUTO_TEST_CASE(is_complete_when_its_connection_ends_in_order)
{
    respond = [&](const received_request& request) { request.send_and_close(head + "whole"); };
    auto response = call();
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response.value().body == "whole");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a call for keys, or to the store, that takes bytes of a server in trouble as its
// response.
BOOST_FIXTURE_TEST_CASE(a_malformed_head_is_an_error, raw_response_fixture)
{
    const std::string rest = "content-length: 2\r\n\r\nok";
    std::string bytes;
    respond = [&](const received_request& request) { request.send(bytes); };
    for (const std::string start : {"HTTP/1.1 000 X\r\n", "HTTP/1.1 200 OK\r\nX A: 1\r\n",
                                    "HTTP/1.1 200 OK\r\nX\x01: 1\r\n"}) {
        bytes = start + rest;
        BOOST_TEST(call().has_error(), start);
    }
    bytes = "HTTP/1.1 599 X\r\nX-Empty:\r\n" + rest;
    BOOST_TEST(call().has_value());
}

} // namespace
} // namespace cornelswitch::test
