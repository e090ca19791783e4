#include "tests/gateway/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

namespace cornelswitch {
namespace {

using namespace test;

BOOST_FIXTURE_TEST_SUITE(a_gateway, gateway_fixture)

BOOST_AUTO_TEST_SUITE(that_shuts_down)

BOOST_AUTO_TEST_CASE(finishes_received_requests_and_announces_the_end_of_the_connection)
{
    start();
    hold_plain_requests();
    auto connection = connect();
    connection->send(request("/read/1", "r1"));
    run_until([&] { return waiting.size() == 1; });
    instance->shut_down();
    BOOST_TEST(!ready());
    run_for(milliseconds{100});
    waiting[0].send(plain_server_1.valid_response(waiting[0]));
    run_until([&] { return !connection->receive(); });
    BOOST_TEST(connection->received.ends_with("hello"));
    BOOST_TEST(connection->received.find("Connection: close") != std::string::npos);
    run_until([&] { return instance->is_finished(); });
}

// Guards against a truncated response: the server's response is complete, but a slow caller has not
// read all of it when idle connections are closed.
BOOST_AUTO_TEST_CASE(sends_the_rest_of_a_complete_response_to_a_slow_caller)
{
    constexpr std::size_t size = 6'000'000;
    start();
    for (auto* backend : {&plain_server_1, &plain_server_2}) {
        backend->handle_request = [](fake_backend& self, received_request& received) {
            received.send(self.valid_response(received, std::string(size, 'x')));
        };
    }
    raw_connection slow{settings.caller_address, 8192};
    slow.send(request("/read/1", "r1"));
    auto is_complete_at_server = [&] {
        raw_connection probe{
            {"127.0.0.1", static_cast<std::uint16_t>(settings.peer_address.port + 1)}};
        probe.send("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
        run_until([&] {
            probe.receive();
            return is_whole(probe.received);
        });
        return probe.received.find("outcome_answered_total 1") != std::string::npos;
    };
    do {
        for (int n = 0; n < 4; ++n) {
            slow.receive();
            run_for(milliseconds{1});
        }
    } while (!is_complete_at_server());
    BOOST_TEST(slow.received.size() < size);

    instance->shut_down();
    run_for(milliseconds{3300});
    run_until([&] { return !slow.receive() || slow.received.size() > size; });
    BOOST_TEST(slow.received.size() > size);
}

// Guards against a connection that stays open but reads no more requests. This can happen if the
// last response is complete before the shutdown and waits behind a slower one, so that it cannot
// announce the end of the connection.
BOOST_AUTO_TEST_CASE(responds_to_the_next_request_when_it_was_too_late_to_announce_the_end)
{
    start();
    hold_plain_requests();
    auto connection = connect();
    connection->send(request("/read/1", "r1") + request("/read/2", "r2"));
    run_until([&] { return waiting.size() == 2; });
    std::ranges::sort(waiting, [](const auto& left, const auto& right) {
        return fake_backend::header(left, "x-request-id") <
               fake_backend::header(right, "x-request-id");
    });
    waiting[1].send(plain_server_1.valid_response(waiting[1], "second"));
    run_for(milliseconds{50});
    instance->shut_down();
    waiting[0].send(plain_server_1.valid_response(waiting[0], "first"));
    run_until([&] {
        connection->receive();
        return connection->received.ends_with("second");
    });
    auto respond_third = [](fake_backend& self, received_request& request) {
        request.send(self.valid_response(request, "third"));
    };
    plain_server_1.handle_request = respond_third;
    plain_server_2.handle_request = respond_third;
    connection->send(request("/read/3", "r3"));
    run_until([&] { return !connection->receive(); });
    BOOST_TEST(connection->received.ends_with("third"));
}

// Guards against losing requests on connections that the kernel had accepted, or bytes that it had
// received, when the listener and idle connections are closed.
BOOST_AUTO_TEST_CASE(responds_to_requests_that_the_kernel_accepted_before_the_listener_closed)
{
    constexpr std::size_t caller_count = 100;
    start();
    instance->shut_down();
    run_for(milliseconds{2450});
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (std::size_t index = 0; index < caller_count; ++index) {
        callers.push_back(connect());
        callers.back()->send(request("/read/1", "r" + std::to_string(index)));
    }
    std::this_thread::sleep_for(milliseconds{300});
    run_until([&] { return instance->is_finished(); });
    // Two servers cannot run all requests in time, so some are refused, which counts as a response.
    auto answered = std::ranges::count_if(callers, [](const auto& caller) {
        caller->receive();
        return status(caller->received) == "200" || status(caller->received) == "503";
    });
    BOOST_TEST(static_cast<std::size_t>(answered) == caller_count);
}

// Guards against requests that get no response because the process is killed first.
BOOST_AUTO_TEST_CASE(responds_to_every_request_before_it_is_killed)
{
    settings.shutdown_grace = milliseconds{1900};
    start();
    hold_plain_requests();
    auto running = connect();
    running->send(request("/read/1", "r1"));
    auto incomplete = connect();
    incomplete->send(
        "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\nContent-Length: 10\r\n\r\nabc");
    run_until([&] { return waiting.size() == 1; });
    instance->shut_down();
    run_until([&] { return instance->is_finished(); });
    running->receive();
    BOOST_TEST(status(running->received) == "504");
    incomplete->receive();
    BOOST_TEST(status(incomplete->received) == "503");
    BOOST_TEST(incomplete->received.find("Retry-After: ") != std::string::npos);
}

// Guards against cutting requests without a response that arrive during the grace period and cannot
// end within it, and against running one that may not be repeated a second time.
BOOST_AUTO_TEST_CASE(responds_to_requests_that_arrive_late_in_the_grace_period)
{
    settings.shutdown_grace = milliseconds{1900};
    start();
    hold_plain_requests();
    instance->shut_down();
    run_for(milliseconds{500});
    auto read = connect();
    read->send(request("/read/1", "r1"));
    auto write = connect();
    write->send(request("/write/2", "r2"));
    run_until([&] { return waiting.size() == 2; });
    run_until([&] { return instance->is_finished(); });
    read->receive();
    write->receive();
    BOOST_TEST(status(read->received) == "504");
    BOOST_TEST(status(write->received) == "504");
    BOOST_TEST(plain_server_1.executed_request_ids.size() +
                   plain_server_2.executed_request_ids.size() ==
               2U);
}

// Guards against passing on a request that arrives after every request got its final response: the
// process ends before the server can respond, and the caller may not repeat it.
BOOST_AUTO_TEST_CASE(refuses_requests_that_arrive_too_late_to_be_executed)
{
    settings.shutdown_grace = milliseconds{1900};
    start();
    hold_plain_requests();
    auto running = connect();
    running->send(request("/read/1", "r1"));
    run_until([&] { return waiting.size() == 1; });
    // A response in progress keeps the connection of the late request open.
    auto late = connect();
    late->send(request("/read/2", "r2"));
    run_until([&] { return waiting.size() == 2; });
    auto whole = plain_server_1.valid_response(waiting[1], std::string(90'000, 'x'));
    waiting[1].send(whole.substr(0, 40'000));
    run_until([&] {
        late->receive();
        return !late->received.empty();
    });
    instance->shut_down();
    run_until([&] {
        running->receive();
        return status(running->received + std::string(12, ' ')) == "504";
    });
    late->send(request("/write/3", "r3"));
    run_for(milliseconds{30});
    BOOST_TEST(waiting.size() == 2U);
    waiting[1].send(whole.substr(40'000));
    run_until([&] { return !late->receive(); });
    auto refusal = late->received.substr(late->received.rfind("HTTP/1.1 "));
    BOOST_TEST(status(refusal) == "503");
    BOOST_TEST(refusal.find("Retry-After: ") != std::string::npos);
}

// Guards against a reset of the connection, which can discard a response that the caller has not
// read yet.
BOOST_AUTO_TEST_CASE(does_not_reset_a_connection_with_bytes_after_the_last_request)
{
    start();
    auto connection = connect();
    connection->send(request("/read/1", "r1", "Connection: close\r\n"));
    run_until([&] {
        return plain_server_1.executed_request_ids.size() +
                   plain_server_2.executed_request_ids.size() ==
               1U;
    });
    connection->send(request("/read/2", "r2"));
    run_until([&] { return !connection->receive(); });
    BOOST_TEST(!connection->is_reset);
    BOOST_TEST(connection->received.ends_with("hello"));
    BOOST_TEST(plain_server_1.executed_request_ids.size() +
                   plain_server_2.executed_request_ids.size() ==
               1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
