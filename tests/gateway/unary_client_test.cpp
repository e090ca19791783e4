#include "gateway/unary_client.h"
#include "tests/adapters/loop_fixture.h"
#include "tests/gateway/fake_http_server.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

namespace cornelswitch::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server that sends its answer in pieces, and a client of it.
struct slow_answer : loop_fixture {
    auto call(duration longest_answer, int pieces) -> void
    {
        unary_client::options options;
        options.longest_answer = longest_answer;
        options.stall_timeout = milliseconds{150};
        client.emplace(loop, server.address(), options);
        left = pieces;
        client->call({}, milliseconds{200},
                     [this](result<http_response> answer) { outcome = std::move(answer); });
    }

    auto send_next(const received_request& request) -> void
    {
        if (left == 0) {
            return;
        }
        --left;
        request.send(std::string(10, 'x'));
        loop.schedule(milliseconds{60}, [this, request] { send_next(request); });
    }

    fake_http_server server{loop, [this](received_request request) {
                                request.send("HTTP/1.1 200 X\r\ncontent-length: 100\r\n\r\n");
                                send_next(request);
                            }};
    int left{0};
    std::optional<unary_client> client;
    std::optional<result<http_response>> outcome;
};

BOOST_FIXTURE_TEST_SUITE(a_unary_client, slow_answer)

BOOST_AUTO_TEST_SUITE(with_an_answer_that_arrives_slowly)

// Guards against a configuration that never arrives: each read was given up while its answer was
// on its way over a small link, and the next one asked for all of it again.
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

BOOST_AUTO_TEST_CASE(gives_up_after_the_longest_time)
{
    call(milliseconds{300}, 10);
    run_until([&] { return outcome.has_value(); });
    BOOST_TEST(outcome->has_error());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch::test
