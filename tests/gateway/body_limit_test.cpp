#include "tests/gateway/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace cornelswitch {
namespace {

using namespace test;

/// Requests with bodies at an instance whose account takes 5.8 MB of them.
struct body_fixture : gateway_fixture {
    body_fixture()
    {
        settings.memory_mb = 10;
        for (auto* backend : {&plain_server_1, &plain_server_2}) {
            backend->handle_request = [this](fake_backend& self, received_request& request) {
                bodies.push_back(request.body);
                request.send(self.valid_response(request));
            };
        }
    }

    static auto post(const std::string& path, const std::string& id, std::size_t length,
                     const std::string& deadline_ms = "2000") -> std::string
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
               "\r\nX-Deadline-Ms: " + deadline_ms +
               "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    }

    /// A text in which no two blocks of a body are equal.
    static auto text(std::size_t n) -> std::string
    {
        std::string out;
        while (out.size() < n) {
            out += std::to_string(out.size()) + ",";
        }
        out.resize(n);
        return out;
    }

    auto receive_all(raw_connection& connection) -> std::string
    {
        run_until([&] { return !connection.receive(); });
        return connection.received;
    }

    auto has_run(const std::string& id) const -> bool
    {
        return std::ranges::any_of(std::vector{&plain_server_1, &plain_server_2},
                                   [&](const fake_backend* it) {
                                       return std::ranges::count(it->executed_request_ids, id) > 0;
                                   });
    }

    static constexpr std::size_t large = 3'000'000;
    std::vector<std::string> bodies;
};

BOOST_AUTO_TEST_SUITE(a_gateway)

BOOST_FIXTURE_TEST_SUITE(whose_callers_send_bodies, body_fixture)

// Guards against blocks that are lost, repeated or reordered, also by the second attempt.
BOOST_AUTO_TEST_CASE(sends_a_large_body_unchanged_to_the_server_of_each_attempt)
{
    start();
    auto body = text(large);
    bool is_first = true;
    for (auto* backend : {&plain_server_1, &plain_server_2}) {
        backend->handle_request = [&](fake_backend& self, received_request& request) {
            bodies.push_back(request.body);
            if (std::exchange(is_first, false)) {
                request.reset();
            } else {
                request.send(self.valid_response(request));
            }
        };
    }
    BOOST_TEST(status(call(post("/read/1", "r1", large) + body)) == "200");
    BOOST_TEST(bodies.size() == 2U);
    BOOST_TEST(std::ranges::count(bodies, body) == 2);
}

// Guards against a body whose rest is taken for the next request of a reused connection.
BOOST_AUTO_TEST_CASE(does_not_reuse_a_connection_whose_server_did_not_want_the_whole_body)
{
    settings.memory_mb = 256;
    start();
    raw_listener early;
    store.put("keyed.servers", "a", "");
    store.put("keyed.servers", "b", "");
    store.put("keyed.servers", "c",
              R"({"Addr":")" + early.address().to_text() +
                  R"(","Info":{"Service":"plain","Version":"v1","Zone":"z1","Slots":2},)"
                  R"("Status":{"State":"ready","Seq":1,"ColdLeft":"0ms"},"born":1700000000000})");
    auto connection = connect();
    run_for(milliseconds{300});
    constexpr std::size_t size = 30'000'000;
    auto request = post("/write/1", "r1", size) + text(size);
    std::size_t sent = 0;
    std::unique_ptr<raw_connection> server;
    run_until([&] {
        sent += connection->try_send(std::string_view{request}.substr(sent));
        server = server ? std::move(server) : early.accept();
        return server != nullptr;
    });
    server->send("HTTP/1.1 200 X\r\nx-request-id: r1\r\nx-response-seal: s\r\n"
                 "content-length: 2\r\n\r\nok");
    run_until([&] {
        connection->receive();
        return is_whole(connection->received);
    });
    BOOST_TEST(status(connection->received) == "200");
    run_until([&] { return !server->receive(); });
}

// Guards against bodies that never end, and a refusal of a request that runs nevertheless.
BOOST_AUTO_TEST_CASE(gives_up_a_body_of_which_no_byte_arrives)
{
    settings.body_limits.timeout = milliseconds{500};
    start();
    auto connection = connect();
    connection->send(post("/write/1", "r1", 10, "60000") + "123456789");
    BOOST_TEST(status(receive_all(*connection)) == "408");
    BOOST_TEST(!has_run("r1"));
}

// Guards against bodies that arrive slowly and are kept although the request is late already.
BOOST_AUTO_TEST_CASE(refuses_a_body_that_has_not_arrived_at_the_deadline)
{
    start();
    auto connection = connect();
    connection->send(post("/write/1", "r1", 10, "300") + "123456789");
    auto response = receive_all(*connection);
    BOOST_TEST(status(response) == "503");
    BOOST_TEST(!has_run("r1"));
}

// Guards against small requests that are refused together with large ones.
BOOST_AUTO_TEST_CASE(refuses_a_large_body_without_room_at_once_and_serves_small_ones)
{
    settings.body_limits.stall_timeout = seconds{60};
    start();
    auto first = connect();
    first->send(post("/write/1", "r1", large, "60000"));
    run_for(milliseconds{50});
    auto second = connect();
    second->send(post("/write/1", "r2", large));
    auto response = receive_all(*second);
    BOOST_TEST(status(response) == "503");
    BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(!has_run("r2"));
    BOOST_TEST(status(call(post("/write/1", "r3", 5) + "small")) == "200");
    first->send(text(large));
    run_until([&] {
        first->receive();
        return is_whole(first->received);
    });
    BOOST_TEST(status(first->received) == "200");
}

// Guards against room that is kept for bodies that no longer arrive.
BOOST_AUTO_TEST_CASE(drops_a_body_without_progress_for_one_that_needs_its_room)
{
    settings.body_limits.stall_timeout = milliseconds{200};
    start();
    auto stalled = connect();
    stalled->send(post("/write/1", "r1", large, "60000") + "start");
    run_for(milliseconds{400});
    BOOST_TEST(status(call(post("/write/1", "r2", large) + text(large))) == "200");
    BOOST_TEST(status(receive_all(*stalled)) == "503");
    BOOST_TEST(!has_run("r1"));
}

// Guards against a process without descriptors for servers, and callers that cannot connect
// because idle connections hold all that there are.
BOOST_AUTO_TEST_CASE(closes_the_longest_idle_connection_for_a_new_one)
{
    settings.max_descriptors = 204;
    start();
    std::vector<std::unique_ptr<raw_connection>> idle;
    for (int n = 0; n < 3; ++n) {
        idle.push_back(connect());
        run_for(milliseconds{20});
    }
    BOOST_TEST(status(call(request("/read/1", "r1"))) == "200");
    BOOST_TEST(!idle[0]->receive());
    BOOST_TEST(idle[1]->receive());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
