#include "tests/gateway/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <string>

namespace cornelswitch {
namespace {

using namespace test;

/// A gateway whose servers send odd bytes.
struct odd_bytes_fixture : gateway_fixture {
    /// Checks that no caller gets a valid response that was changed by `make_odd`: a request that
    /// may have run is neither answered nor repeated, and an idempotent one goes to another server.
    auto check_not_passed_on(const std::string& id,
                             const std::function<std::string(std::string)>& make_odd) -> void
    {
        auto respond_oddly = [this, make_odd](fake_backend& self, received_request& request) {
            auto bytes = make_odd(self.valid_response(request));
            closes_connection ? request.send_and_close(bytes) : request.send(bytes);
        };
        plain_server_1.handle_request = respond_oddly;
        plain_server_2.handle_request = respond_oddly;
        plain_server_1.executed_request_ids.clear();
        plain_server_2.executed_request_ids.clear();
        BOOST_TEST(status(call(request("/write/1", "w" + id))) == "502", id);
        BOOST_TEST(plain_server_1.executed_request_ids.size() +
                       plain_server_2.executed_request_ids.size() ==
                   1U);
        plain_server_2.handle_request = [](fake_backend& self, received_request& request) {
            request.send(self.valid_response(request));
        };
        BOOST_TEST(status(call(request("/read/1", "r" + id))) == "200", id);
    }

    /// Whether the servers close the connection after an odd response.
    bool closes_connection{false};
};

BOOST_FIXTURE_TEST_SUITE(a_gateway, odd_bytes_fixture)

BOOST_AUTO_TEST_SUITE(that_gets_odd_bytes)

// Guards against a success with an empty or short body that is framed as whole, when a server
// closes its connection within the head of its response.
BOOST_AUTO_TEST_CASE(does_not_answer_with_a_response_whose_head_was_cut_off)
{
    start();
    std::size_t length = 0;
    auto cut_head = [&](fake_backend& self, received_request& request) {
        auto response = self.valid_response(request, "whole");
        length = response.size();
        auto cut = std::stoul(fake_backend::header(request, "x-cut"));
        request.send_and_close(response.substr(0, std::min(cut, response.size())));
    };
    plain_server_1.handle_request = cut_head;
    plain_server_2.handle_request = cut_head;
    call(request("/write/1", "r0", "X-Cut: 1000\r\n"));
    BOOST_TEST_REQUIRE(length > 0U);
    for (std::size_t cut = 0; cut < length; cut += 9) {
        auto id = "r" + std::to_string(cut + 1);
        auto response = call(request("/write/1", id, "X-Cut: " + std::to_string(cut) + "\r\n"));
        BOOST_TEST(status(response) == "502", cut);
    }
}

// Guards against a status that is no response, such as 000 from a server in trouble, that reaches
// the caller, and against the repetition of a request that may have run.
BOOST_AUTO_TEST_CASE(does_not_pass_on_a_response_with_an_impossible_status)
{
    start();
    for (const std::string odd_status : {"000", "099", "101", "600"}) {
        check_not_passed_on(odd_status, [&](std::string response) {
            return response.replace(response.find("200"), 3, odd_status);
        });
    }
}

// Guards against a field whose name holds a blank or a control character, from a server in trouble,
// that reaches the caller or hides the end of the body.
BOOST_AUTO_TEST_CASE(does_not_pass_on_a_response_with_a_malformed_field_name)
{
    start();
    int n = 0;
    for (const std::string line : {"X Odd: 1", "X-Odd : 1", "X\x01Odd: 1",
                                   "Transfer-Encoding : chunked", "Content-Length : 2"}) {
        check_not_passed_on("n" + std::to_string(n++), [&](std::string response) {
            return response.insert(response.find("content-length"), line + "\r\n");
        });
    }
    check_not_passed_on(
        "length", [](std::string response) { return response.insert(response.find(": 5"), " "); });
}

// Guards against a field that begins with a blank and becomes a part of the value before it, so
// that the chunks of a body reach the caller with their sizes.
BOOST_AUTO_TEST_CASE(does_not_pass_on_a_response_with_a_folded_line)
{
    start();
    closes_connection = true;
    check_not_passed_on("chunks", [](const std::string& response) {
        return response.substr(0, response.find("content-length")) +
               " Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    });
    check_not_passed_on("length", [](std::string response) {
        return response.insert(response.find("content-length"), "X-A: 1\r\n 2\r\n");
    });
}

// Guards against a check for malformed heads that rejects responses of sound servers.
BOOST_AUTO_TEST_CASE(passes_on_unusual_but_valid_responses)
{
    start();
    std::function<void(received_request&, std::string)> send;
    for (auto* backend : {&plain_server_1, &plain_server_2}) {
        backend->handle_request = [&](fake_backend& self, received_request& request) {
            send(request, self.valid_response(request));
        };
    }
    send = [](received_request& request, std::string valid) {
        request.send(valid.replace(valid.find("200"), 3, "599"));
    };
    auto response = call(request("/write/1", "status"));
    BOOST_TEST(status(response) == "599");
    BOOST_TEST(response.ends_with("hello"));
    send = [](received_request& request, std::string valid) {
        request.send(valid.insert(valid.find("content-length"), "X-Empty:\r\n"));
    };
    response = call(request("/write/1", "empty-value"));
    BOOST_TEST(status(response) == "200");
    BOOST_TEST(response.find("x-empty: \r\n") != std::string::npos);
    send = [](received_request& request, std::string valid) {
        request.send_and_close(
            valid.erase(valid.find("content-length"), std::string{"content-length: 5\r\n"}.size()));
    };
    response = call(request("/write/1", "no-length"));
    BOOST_TEST(status(response) == "200");
    BOOST_TEST(response.ends_with("hello"));
}

// Guards against a copy of an earlier rejection on a reused connection that is taken for the
// response to another request, which the server runs.
BOOST_AUTO_TEST_CASE(does_not_take_a_duplicate_rejection_for_the_response_to_another_request)
{
    start();
    std::string rejection;
    std::size_t runs = 0;
    auto reject_first = [&](fake_backend& self, received_request& request) {
        auto id = fake_backend::header(request, "x-request-id");
        if (id.starts_with("first")) {
            rejection = fake_http_server::response(
                503, "x-not-executed: 1\r\nx-request-id: " + id + "\r\n", "");
            request.send(rejection);
            return;
        }
        ++runs;
        request.send(rejection);
        loop.schedule(milliseconds{20},
                      [request, &self] { request.send(self.valid_response(request, "run")); });
    };
    k1.handle_request = reject_first;
    k2.handle_request = reject_first;
    for (int n = 0; n < 4; ++n) {
        auto suffix = std::to_string(n);
        call(request("/keyed/1", "first" + suffix, key_header(5)));
        run_for(milliseconds{100});
        auto connections = k1.connections();
        auto response = call(request("/keyed/1", "second" + suffix, key_header(5)));
        BOOST_TEST(status(response) == "200");
        BOOST_TEST(response.ends_with("run"));
        BOOST_TEST(k1.connections() == connections);
    }
    BOOST_TEST(runs == 4U);
}

// Guards against the end of the process, or an outdated server list, after another writer left odd
// entries among those of the servers.
BOOST_AUTO_TEST_CASE(follows_the_server_list_beside_odd_entries)
{
    start();
    auto nested = std::string(60'000, '[') + std::string(60'000, ']');
    auto replaced = [&](const std::string& from, const std::string& to) {
        auto entry = plain_server_1.entry("plain");
        return entry.replace(entry.find(from), from.size(), to);
    };
    store.put("keyed.servers", "odd-1", nested);
    store.put("keyed.servers", "odd-2", replaced("\"Slots\":2", "\"Slots\":4294967296"));
    store.put("keyed.servers", "odd-3", replaced("\"Slots\":2", "\"Slots\":" + nested));
    store.put("keyed.servers", "odd-4", replaced("\"Seq\":1", "\"Seq\":1e400"));
    store.put("keyed.servers", "odd-5", replaced("127.0.0.1:", "127.0.0.1:9"));
    store.put("keyed.servers", "odd-6", replaced("\"0ms\"", "\"1e400s\""));
    store.put("keyed.servers", "odd\r\n7", plain_server_1.entry("plain"));
    store.put("keyed.servers", "odd\xff", plain_server_1.entry("plain"));
    store.put("keyed.servers", "a", plain_server_1.entry("plain", "draining", 2));
    run_for(milliseconds{1500});
    for (int n = 0; n < 6; ++n) {
        BOOST_TEST(status(call(request("/read/1", "r" + std::to_string(n)))) == "200");
    }
    BOOST_TEST(plain_server_1.executed_request_ids.empty());
    BOOST_TEST(plain_server_2.executed_request_ids.size() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
