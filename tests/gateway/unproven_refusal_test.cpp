#include "tests/gateway/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>

namespace cornelswitch {
namespace {

using namespace test;

/// Statuses that callers take as proof that their request was not executed. A server that answers
/// 421 has not executed it.
constexpr std::array promising_statuses{408, 429, 503};
/// More than a gateway buffers before it passes a response on.
constexpr std::size_t long_body = 34'000;

/// Servers that execute each request and answer as the test tells.
struct failing_server_fixture : gateway_fixture {
    /// How the end of a response is marked.
    enum class end_mark : std::uint8_t { length, chunk, close };

    /// The head of a response that does not state that the request was not executed.
    static auto head(const received_request& request, int status) -> std::string
    {
        return "HTTP/1.1 " + std::to_string(status) +
               " X\r\nx-request-id: " + fake_backend::header(request, "x-request-id") +
               "\r\nx-response-seal: s\r\n";
    }

    static auto respond(const received_request& request, int status, std::size_t size,
                        end_mark mark) -> void
    {
        std::string body(size, 'x');
        if (mark == end_mark::length) {
            request.send(head(request, status) + "content-length: " + std::to_string(size) +
                         "\r\n\r\n" + body);
        } else if (mark == end_mark::chunk) {
            std::ostringstream hex;
            hex << std::hex << size;
            request.send(head(request, status) + "transfer-encoding: chunked\r\n\r\n" + hex.str() +
                         "\r\n" + body + "\r\n0\r\n\r\n");
        } else {
            request.send_and_close(head(request, status) + "\r\n" + body);
        }
    }

    auto respond_to_all(const fake_backend::request_handler& handler) -> void
    {
        plain_server_1.handle_request = handler;
        plain_server_2.handle_request = handler;
    }

    auto respond_to_all(int status, std::size_t size, end_mark mark = end_mark::length) -> void
    {
        respond_to_all([=](fake_backend&, received_request& request) {
            respond(request, status, size, mark);
        });
    }

    auto runs() const -> std::size_t
    {
        return plain_server_1.executed_request_ids.size() +
               plain_server_2.executed_request_ids.size();
    }

    auto connections() const -> std::size_t
    {
        return plain_server_1.connections() + plain_server_2.connections();
    }
};

BOOST_AUTO_TEST_SUITE(a_gateway)

BOOST_FIXTURE_TEST_SUITE(whose_server_fails_with_an_unproven_refusal, failing_server_fixture)

// These cases guard against a second run: a server executes a request that must run once and
// answers with a status that promises that it did not. The caller takes it as proof and sends the
// request again.
BOOST_AUTO_TEST_SUITE(of_a_request_that_must_run_once)

BOOST_AUTO_TEST_CASE(responds_502_whatever_the_length_of_the_response)
{
    start();
    for (auto status_code : promising_statuses) {
        for (auto mark : {end_mark::length, end_mark::chunk, end_mark::close}) {
            for (auto size : {std::size_t{6}, long_body}) {
                auto runs_before = runs();
                respond_to_all(status_code, size, mark);
                auto response = call(request("/write/1", "r" + std::to_string(runs_before)));
                BOOST_TEST(status(response) == "502", status_code << ", " << size << " bytes");
                BOOST_TEST(response.find("x-response-seal") == std::string::npos);
                BOOST_TEST(runs() == runs_before + 1);
            }
        }
    }
}

// Responses are passed on earlier while memory is short.
BOOST_AUTO_TEST_CASE(responds_502_while_memory_is_short)
{
    settings.memory_mb = 10;
    start();
    auto uploading = connect();
    uploading->send("POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: u1\r\nX-Deadline-Ms: 20000"
                    "\r\nContent-Length: 4000000\r\n\r\nbegin");
    run_for(milliseconds{50});
    respond_to_all(503, 5000);
    BOOST_TEST(status(call(request("/write/1", "r1"))) == "502");
}

// A long response that waits for an earlier one is held back and passed on later.
BOOST_AUTO_TEST_CASE(responds_502_behind_an_earlier_response)
{
    start();
    respond_to_all([this](fake_backend&, received_request& request) {
        if (fake_backend::header(request, "x-request-id") == "r1") {
            waiting.push_back(request);
            return;
        }
        respond(request, 503, long_body, end_mark::chunk);
    });
    auto caller = connect();
    caller->send(request("/read/1", "r1") + request("/write/1", "r2"));
    run_until([&] { return runs() == 2 && !waiting.empty(); });
    run_for(milliseconds{50});
    waiting.front().send(plain_server_1.valid_response(waiting.front(), "first"));
    run_until(
        [&] { return caller->receive() && caller->received.find("502") != std::string::npos; });
    BOOST_TEST(caller->received.find("503") == std::string::npos);
}

// The head decides, so the caller does not wait for a body that it does not get.
BOOST_AUTO_TEST_CASE(responds_502_before_the_response_has_ended)
{
    start();
    respond_to_all([](fake_backend&, received_request& request) {
        request.send(head(request, 503) + "content-length: 100\r\n\r\nbegin");
    });
    BOOST_TEST(status(call(request("/write/1", "r1"))) == "502");
}

// Guards against a new connection to the server after each of its failures.
BOOST_AUTO_TEST_CASE(keeps_the_connections_to_the_servers)
{
    start();
    auto connections_before = connections();
    respond_to_all(503, 100);
    for (int n = 0; n < 8; ++n) {
        BOOST_TEST(status(call(request("/write/1", "r" + std::to_string(n)))) == "502");
    }
    BOOST_TEST(connections() <= connections_before + 2);
}

BOOST_AUTO_TEST_SUITE_END()

// These cases guard against a check that also replaces what may be passed on.
BOOST_AUTO_TEST_SUITE(or_with_a_response_that_may_be_passed_on)

BOOST_AUTO_TEST_CASE(passes_on_a_failure_that_promises_nothing)
{
    start();
    for (auto status_code : {500, 504}) {
        for (auto size : {std::size_t{6}, long_body}) {
            respond_to_all(status_code, size);
            auto response = call(request("/write/1", "r" + std::to_string(runs())));
            BOOST_TEST(status(response) == std::to_string(status_code));
            BOOST_TEST(response.ends_with("\r\n\r\n" + std::string(size, 'x')));
        }
    }
}

BOOST_AUTO_TEST_CASE(passes_on_the_failure_of_a_request_that_may_run_again)
{
    start();
    for (auto size : {std::size_t{6}, long_body}) {
        respond_to_all(503, size);
        auto response = call(request("/read/1", "r" + std::to_string(runs())));
        BOOST_TEST(status(response) == "503");
        BOOST_TEST(response.ends_with("\r\n\r\n" + std::string(size, 'x')));
    }
}

BOOST_AUTO_TEST_CASE(refuses_a_request_that_no_server_has_executed)
{
    start();
    respond_to_all([](fake_backend&, received_request& request) {
        request.send(
            fake_http_server::response(503, "x-not-executed: 1\r\n", std::string(long_body, 'x')));
    });
    auto response = call(request("/write/1", "r1"));
    BOOST_TEST(status(response) == "503");
    BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
