#include "tests/gateway/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace cornelswitch {
namespace {

using namespace test;

BOOST_FIXTURE_TEST_SUITE(a_gateway, gateway_fixture)

BOOST_AUTO_TEST_SUITE(that_starts)

BOOST_AUTO_TEST_CASE(refuses_and_is_not_ready_until_it_has_a_configuration)
{
    start_empty();
    BOOST_TEST(!ready());
    auto response = call(request("/read/1", "r1"));
    BOOST_TEST(status(response) == "503");
    BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
    store.put("keyed.op", "config", configuration(1));
    run_until([&] { return ready(); });
}

BOOST_AUTO_TEST_CASE(waits_for_a_store_that_is_down)
{
    store.is_down = true;
    start_empty();
    run_for(milliseconds{300});
    BOOST_TEST(!ready());
    store.put("keyed.op", "config", configuration(1));
    store.is_down = false;
    run_until([&] { return ready(); });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(without_failures)

BOOST_AUTO_TEST_CASE(passes_on_a_servers_response_unchanged)
{
    start();
    auto response = call(request("/read/1", "r1"));
    BOOST_TEST(status(response) == "200");
    BOOST_TEST(response.find("x-response-seal: s.") != std::string::npos);
    BOOST_TEST(response.ends_with("hello"));
    BOOST_TEST(plain_server_1.executed_request_ids.size() +
                   plain_server_2.executed_request_ids.size() ==
               1U);
}

BOOST_AUTO_TEST_CASE(responds_with_404_when_no_route_matches)
{
    start();
    BOOST_TEST(status(call(request("/nowhere/1", "r1"))) == "404");
}

BOOST_AUTO_TEST_CASE(sends_a_key_to_the_server_that_holds_it)
{
    start();
    BOOST_TEST(status(call(request("/keyed/1", "r1", key_header(5)))) == "200");
    BOOST_TEST(k1.executed_request_ids.size() == 1U);
    BOOST_TEST(status(call(request("/keyed/1", "r2", key_header(65000)))) == "200");
    BOOST_TEST(k2.executed_request_ids.size() == 1U);
}

BOOST_AUTO_TEST_CASE(answers_pipelined_requests_in_order)
{
    start();
    hold_plain_requests();
    auto connection = connect();
    connection->send(request("/read/1", "r1") + request("/read/2", "r2"));
    run_until([&] { return waiting.size() == 2; });
    // The server responds to the second request first.
    std::ranges::sort(waiting, [](const auto& left, const auto& right) {
        return fake_backend::header(left, "x-request-id") >
               fake_backend::header(right, "x-request-id");
    });
    waiting[0].send(plain_server_1.valid_response(waiting[0], "second"));
    run_for(milliseconds{50});
    connection->receive();
    BOOST_TEST(connection->received.empty());
    waiting[1].send(plain_server_1.valid_response(waiting[1], "first"));
    run_until([&] {
        connection->receive();
        return connection->received.ends_with("second");
    });
    BOOST_TEST(connection->received.find("first") < connection->received.find("second"));
}

// Guards against running a request whose response can never be sent, because the connection closes
// after the request before it.
BOOST_AUTO_TEST_CASE(runs_no_request_after_a_callers_last_one)
{
    start();
    auto connection = connect();
    connection->send(request("/read/1", "r1", "Connection: close\r\n") + request("/read/2", "r2"));
    run_until([&] { return !connection->receive(); });
    BOOST_TEST(plain_server_1.executed_request_ids.size() +
                   plain_server_2.executed_request_ids.size() ==
               1U);
}

BOOST_AUTO_TEST_CASE(rejects_malformed_requests)
{
    start();
    BOOST_TEST(status(call("nonsense\r\n\r\n")) == "400");
    BOOST_TEST(status(call("GET /read/1 HTTP/1.1\r\nHost: h\r\nX: " + std::string(20'000, 'x') +
                           "\r\n\r\n")) == "431");
    // A request with two framings could smuggle a second request.
    BOOST_TEST(status(call("POST /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")) == "400");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_servers_that_fail)

BOOST_AUTO_TEST_CASE(never_runs_a_non_idempotent_request_twice)
{
    start();
    auto reset = [](fake_backend&, received_request& request) { request.reset(); };
    plain_server_1.handle_request = reset;
    plain_server_2.handle_request = reset;
    auto response = call(request("/write/1", "r1"));
    BOOST_TEST(status(response) == "502");
    BOOST_TEST(response.find("Retry-After") == std::string::npos);
    BOOST_TEST(plain_server_1.executed_request_ids.size() +
                   plain_server_2.executed_request_ids.size() ==
               1U);
}

BOOST_AUTO_TEST_CASE(retries_an_idempotent_request_on_another_server)
{
    start();
    auto first_fails = [&](fake_backend& self, received_request& request) {
        if (plain_server_1.executed_request_ids.size() +
                plain_server_2.executed_request_ids.size() ==
            1) {
            request.reset();
            return;
        }
        request.send(self.valid_response(request));
    };
    plain_server_1.handle_request = first_fails;
    plain_server_2.handle_request = first_fails;
    BOOST_TEST(status(call(request("/read/1", "r1"))) == "200");
    BOOST_TEST(plain_server_1.executed_request_ids.size() == 1U);
    BOOST_TEST(plain_server_2.executed_request_ids.size() == 1U);
}

BOOST_AUTO_TEST_CASE(replaces_a_truncated_response)
{
    start();
    auto first_is_cut = [&](fake_backend& self, received_request& request) {
        auto response = self.valid_response(request, "a body of some length");
        if (plain_server_1.executed_request_ids.size() +
                plain_server_2.executed_request_ids.size() ==
            1) {
            request.send(response.substr(0, response.size() - 5));
            loop.schedule(milliseconds{5}, [request] { request.reset(); });
            return;
        }
        request.send(response);
    };
    plain_server_1.handle_request = first_is_cut;
    plain_server_2.handle_request = first_is_cut;
    auto response = call(request("/read/1", "r1"));
    BOOST_TEST(status(response) == "200");
    BOOST_TEST(response.ends_with("a body of some length"));
}

BOOST_AUTO_TEST_CASE(never_uses_the_response_to_another_request)
{
    start();
    auto send_stray_first = [](fake_backend& self, received_request& request) {
        request.send(fake_http_server::response(
            200, "x-request-id: other\r\nx-response-seal: s\r\n", "stray"));
        request.send(self.valid_response(request));
    };
    plain_server_1.handle_request = send_stray_first;
    plain_server_2.handle_request = send_stray_first;
    auto response = call(request("/read/1", "r1"));
    BOOST_TEST(response.ends_with("hello"));
    BOOST_TEST(response.find("stray") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(closes_a_connection_with_unexpected_bytes)
{
    start();
    auto send_surplus = [](fake_backend& self, received_request& request) {
        request.send(self.valid_response(request) + self.valid_response(request, "surplus"));
    };
    plain_server_1.handle_request = send_surplus;
    plain_server_2.handle_request = send_surplus;
    for (const auto* id : {"r1", "r2", "r3", "r4"}) {
        auto response = call(request("/read/1", id));
        BOOST_TEST(status(response) == "200");
        BOOST_TEST(response.find("surplus") == std::string::npos);
    }
}

// Guards against a late duplicate of a rejection on a reused connection that is taken for the
// response to the retry of the same request, which the server now runs.
BOOST_AUTO_TEST_CASE(does_not_take_a_duplicate_rejection_for_the_response_to_a_retry)
{
    start();
    std::map<std::string, int> seen;
    auto reject_twice = [&](fake_backend& self, received_request& request) {
        auto id = fake_backend::header(request, "x-request-id");
        auto rejection = fake_http_server::response(
            503, "x-not-executed: 1\r\nx-request-id: " + id + "\r\n", "");
        if (++seen[self.id() + id] == 1) {
            request.send(rejection);
            return;
        }
        request.send(rejection);
        loop.schedule(milliseconds{20},
                      [request, &self] { request.send(self.valid_response(request)); });
    };
    k1.handle_request = reject_twice;
    k2.handle_request = reject_twice;
    auto connections = k1.connections();
    auto response = call(request("/keyed/1", "r1", key_header(5)));
    BOOST_TEST(status(response) == "503");
    // Each of the two attempts used a new connection.
    BOOST_TEST(k1.executed_request_ids.size() == 2U);
    BOOST_TEST(k1.connections() == connections + 2);
}

BOOST_AUTO_TEST_CASE(does_not_reuse_a_connection_after_a_response_without_a_request_id)
{
    start();
    auto respond_without_id = [](fake_backend&, received_request& request) {
        request.send(fake_http_server::response(500, "", "failed"));
    };
    plain_server_1.handle_request = respond_without_id;
    plain_server_2.handle_request = respond_without_id;
    auto connections = plain_server_1.connections() + plain_server_2.connections();
    for (const auto* id : {"r1", "r2", "r3", "r4"}) {
        BOOST_TEST(status(call(request("/write/1", id))) == "500");
    }
    BOOST_TEST(plain_server_1.connections() + plain_server_2.connections() == connections + 4);
}

BOOST_AUTO_TEST_CASE(refuses_a_request_that_every_server_rejected)
{
    start();
    auto reject = [](fake_backend&, received_request& request) {
        request.send(fake_http_server::response(503, "x-not-executed: 1\r\n", ""));
    };
    plain_server_1.handle_request = reject;
    plain_server_2.handle_request = reject;
    auto response = call(request("/write/1", "r1"));
    BOOST_TEST(status(response) == "503");
    BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
}

// Guards against passing on a 503 without the not-executed header. Callers take a 503 as proof that
// the request did not run, but the server may have run it.
BOOST_AUTO_TEST_CASE(does_not_pass_on_a_503_without_proof_that_the_request_did_not_run)
{
    start();
    auto fail = [](fake_backend&, received_request& request) {
        request.send(fake_http_server::response(
            503,
            "x-request-id: " + fake_backend::header(request, "x-request-id") +
                "\r\nx-response-seal: s\r\n",
            "failed"));
    };
    plain_server_1.handle_request = fail;
    plain_server_2.handle_request = fail;
    auto response = call(request("/write/1", "r1"));
    BOOST_TEST(status(response) == "502");
    BOOST_TEST(response.find("x-response-seal") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ends_a_request_at_its_routes_timeout)
{
    start();
    auto leave_unanswered = [](fake_backend& self, received_request& request) {
        self.pending_requests.push_back(request);
    };
    plain_server_1.handle_request = leave_unanswered;
    plain_server_2.handle_request = leave_unanswered;
    auto started = loop.now();
    BOOST_TEST(status(call(request("/read/1", "r1"))) == "504");
    auto elapsed = loop.now() - started;
    BOOST_TEST((elapsed >= milliseconds{1450}));
    // The gateway closes the connection, so that the server stops.
    run_until([&] {
        auto& open = plain_server_1.pending_requests.empty() ? plain_server_2.pending_requests
                                                             : plain_server_1.pending_requests;
        return !open.empty() && open.front().is_closed();
    });
}

BOOST_AUTO_TEST_CASE(cancels_the_request_of_a_caller_that_disconnected)
{
    start();
    auto leave_unanswered = [](fake_backend& self, received_request& request) {
        self.pending_requests.push_back(request);
    };
    plain_server_1.handle_request = leave_unanswered;
    plain_server_2.handle_request = leave_unanswered;
    auto connection = connect();
    connection->send(request("/read/1", "r1"));
    run_until([&] {
        return !plain_server_1.pending_requests.empty() || !plain_server_2.pending_requests.empty();
    });
    connection.reset();
    run_until([&] {
        auto& open = plain_server_1.pending_requests.empty() ? plain_server_2.pending_requests
                                                             : plain_server_1.pending_requests;
        return open.front().is_closed();
    });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_servers_that_come_and_go)

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_server_that_drains)
{
    start();
    store.put("keyed.servers", "a", plain_server_1.entry("plain", "draining", 2));
    run_for(milliseconds{800});
    for (int n = 0; n < 6; ++n) {
        call(request("/read/1", "r" + std::to_string(n)));
    }
    BOOST_TEST(plain_server_1.executed_request_ids.empty());
    BOOST_TEST(plain_server_2.executed_request_ids.size() == 6U);
}

// Guards against requests to a server that announced its shutdown in a response while its directory
// entry still says that it is ready.
BOOST_AUTO_TEST_CASE(sends_nothing_to_a_server_that_announced_its_shutdown_in_a_response)
{
    start();
    auto announce = [](fake_backend& self, received_request& request) {
        auto response = self.valid_response(request);
        request.send(response.insert(response.find("\r\n") + 2, "Server-Leaving: 1\r\n"));
    };
    plain_server_1.handle_request = announce;
    for (int n = 0; n < 6 && plain_server_1.executed_request_ids.empty(); ++n) {
        call(request("/read/1", "r" + std::to_string(n)));
    }
    BOOST_TEST_REQUIRE(plain_server_1.executed_request_ids.size() == 1U);
    store.put("keyed.servers", "a", plain_server_1.entry("plain", "ready", 9));
    run_for(milliseconds{800});
    for (int n = 0; n < 6; ++n) {
        BOOST_TEST(status(call(request("/read/1", "s" + std::to_string(n)))) == "200");
    }
    BOOST_TEST(plain_server_1.executed_request_ids.size() == 1U);
}

// Guards against requests that wait for the response of a process that has ended without notice.
BOOST_AUTO_TEST_CASE(ends_the_attempts_at_a_server_whose_address_is_taken_over)
{
    start();
    hold_plain_requests();
    auto connection = connect();
    connection->send(request("/write/1", "r1"));
    run_until([&] { return waiting.size() == 1; });
    auto is_first = fake_backend::header(waiting[0], "x-expect-instance") == "a";
    auto& ended = is_first ? plain_server_1 : plain_server_2;
    auto successor = ended.entry("plain");
    successor.replace(successor.find("1700000000000"), 13, "1700000009000");
    auto started = loop.now();
    store.put("keyed.servers", "successor", successor);
    run_until([&] {
        connection->receive();
        return is_whole(connection->received);
    });
    // The request may have run, and is not sent again.
    BOOST_TEST(status(connection->received) == "502");
    BOOST_TEST((loop.now() - started < milliseconds{1000}));
    BOOST_TEST(waiting.size() == 1U);
}

BOOST_AUTO_TEST_CASE(moves_the_keys_of_a_server_that_announced_its_shutdown_in_a_response)
{
    start();
    k1.handle_request = [](fake_backend& self, received_request& request) {
        auto response = self.valid_response(request);
        request.send(response.insert(response.find("\r\n") + 2, "Server-Leaving: 1\r\n"));
    };
    call(request("/keyed/1", "r1", key_header(5)));
    BOOST_TEST(k1.executed_request_ids.size() == 1U);
    run_until([&] { return k2.holds_key(5) && !k1.holds_key(5); });
    BOOST_TEST(status(call(request("/keyed/1", "r2", key_header(5)))) == "200");
    BOOST_TEST(k2.executed_request_ids.size() == 1U);
}

// Guards against requests to a server during the hold-off time that it requested.
BOOST_AUTO_TEST_CASE(sends_nothing_to_a_server_during_its_hold_off_time)
{
    start();
    auto reject = [](fake_backend&, received_request& request) {
        request.send(
            fake_http_server::response(503, "x-not-executed: 1\r\nretry-after: 1.2\r\n", ""));
    };
    plain_server_1.handle_request = reject;
    for (int n = 0; n < 6 && plain_server_1.executed_request_ids.empty(); ++n) {
        call(request("/read/1", "r" + std::to_string(n)));
    }
    BOOST_TEST_REQUIRE(plain_server_1.executed_request_ids.size() == 1U);
    for (int n = 0; n < 10; ++n) {
        BOOST_TEST(status(call(request("/read/1", "s" + std::to_string(n)))) == "200");
        run_for(milliseconds{100});
    }
    BOOST_TEST(plain_server_1.executed_request_ids.size() == 1U);
    run_for(milliseconds{500});
    // The other server has no free slot, so server `a` is used again.
    plain_server_2.handle_request = [](fake_backend& self, received_request& request) {
        self.pending_requests.push_back(request);
    };
    auto first = connect();
    auto second = connect();
    first->send(request("/read/1", "t1"));
    second->send(request("/read/1", "t2"));
    run_for(milliseconds{50});
    call(request("/read/1", "t3"));
    BOOST_TEST(plain_server_1.executed_request_ids.size() == 2U);
}

BOOST_AUTO_TEST_CASE(refuses_a_key_at_once_during_the_hold_off_time_of_its_owner)
{
    start();
    k1.handle_request = [](fake_backend&, received_request& request) {
        request.send(
            fake_http_server::response(503, "x-not-executed: 1\r\nretry-after: 5\r\n", ""));
    };
    call(request("/keyed/1", "r1", key_header(5)));
    auto started = loop.now();
    auto response = call(request("/keyed/1", "r2", key_header(5)));
    BOOST_TEST(status(response) == "503");
    BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
    BOOST_TEST((loop.now() - started < milliseconds{300}));
    BOOST_TEST(k1.executed_request_ids.size() == 1U);
}

BOOST_AUTO_TEST_CASE(moves_the_keys_of_a_server_that_drains)
{
    start();
    store.put("keyed.servers", "k1", k1.entry("index", "draining", 2));
    run_until([&] { return k2.holds_key(5) && !k1.holds_key(5); });
    BOOST_TEST(status(call(request("/keyed/1", "r1", key_header(5)))) == "200");
    BOOST_TEST(k2.executed_request_ids.size() == 1U);
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_zone_that_is_evacuated)
{
    start();
    store.put("keyed.op", "evacuate/z1", "{}");
    run_for(milliseconds{400});
    BOOST_TEST(status(call(request("/read/1", "r1"))) == "503");
    store.put("keyed.op", "evacuate/z1", "");
    run_until([&] { return status(call(request("/read/1", "r2"))) == "200"; });
}

// Guards against two holders of a key, and against attempts that are given up, after another writer
// left an entry at the address of a live server. Only a process of a configured service proves that
// the address has been assigned again.
BOOST_AUTO_TEST_CASE(keeps_the_owner_and_the_attempts_at_an_address_that_an_odd_entry_names)
{
    start();
    hold_plain_requests();
    auto connection = connect();
    connection->send(request("/write/1", "r1"));
    run_until([&] { return waiting.size() == 1; });
    auto odd_entry = [](const fake_backend& server) {
        auto out = server.entry("unknown");
        return out.replace(out.find("1700000000000"), 13, "1700000009000");
    };
    store.put("keyed.servers", "odd-1", odd_entry(k1));
    store.put("keyed.servers", "odd-2", odd_entry(plain_server_1));
    store.put("keyed.servers", "odd-3", odd_entry(plain_server_2));
    run_for(milliseconds{1000});
    auto& owner = fake_backend::header(waiting[0], "x-expect-instance") == "a" ? plain_server_1
                                                                               : plain_server_2;
    waiting[0].send(owner.valid_response(waiting[0]));
    run_until([&] {
        connection->receive();
        return is_whole(connection->received);
    });
    BOOST_TEST(status(connection->received) == "200");
    run_for(milliseconds{1000});
    BOOST_TEST(!k2.holds_key(0));
}

BOOST_AUTO_TEST_CASE(ignores_entries_that_cannot_be_read)
{
    start();
    store.put("keyed.servers", "bad", "\xff{");
    store.put("keyed.servers", "worse", R"({"Addr":5})");
    run_for(milliseconds{700});
    BOOST_TEST(status(call(request("/read/1", "r1"))) == "200");
}

BOOST_AUTO_TEST_CASE(reads_the_topic_again_after_records_were_compacted)
{
    start();
    store.put("keyed.servers", "a", "");
    store.compact("keyed.servers");
    run_for(milliseconds{900});
    for (int n = 0; n < 4; ++n) {
        call(request("/read/1", "r" + std::to_string(n)));
    }
    BOOST_TEST(plain_server_1.executed_request_ids.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_store_fails)

BOOST_AUTO_TEST_CASE(keeps_serving_and_renewing_leases)
{
    start();
    store.is_down = true;
    run_for(milliseconds{2500});
    BOOST_TEST(status(call(request("/read/1", "r1"))) == "200");
    BOOST_TEST(status(call(request("/keyed/1", "r2", key_header(5)))) == "200");
    BOOST_TEST(ready());
}

BOOST_AUTO_TEST_CASE(never_goes_back_to_an_older_configuration)
{
    start();
    store.put("keyed.op", "config", with_route(5, "new"));
    run_until([&] { return status(call(request("/new/1", "r1"))) == "200"; });
    store.put("keyed.op", "config", configuration(3));
    run_for(milliseconds{400});
    BOOST_TEST(status(call(request("/new/1", "r2"))) == "200");
}

BOOST_AUTO_TEST_CASE(records_owners_although_responses_to_appends_are_lost)
{
    store.loses_append_responses = true;
    start();
    store.loses_append_responses = false;
    BOOST_TEST(status(call(request("/keyed/1", "r1", key_header(5)))) == "200");
    // Expected appends: the take-over of two services, one instance, one set of owners and a few
    // retries.
    BOOST_TEST(store.appends < 12);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(beside_a_coordinator_instance)

struct two_gateways : gateway_fixture {
    two_gateways()
    {
        start();
        second_settings = settings;
        second_settings.node = instance_id{"i2"};
        second_settings.caller_address = {"127.0.0.1", free_port()};
        second_settings.readiness_address = {"127.0.0.1", free_port()};
        second_settings.peer_address = {"127.0.0.1", free_port_pair()};
        second = std::make_unique<gateway>(loop, second_settings, events, boot_id{8});
        BOOST_REQUIRE(second->start().has_value());
        run_for(seconds{2});
    }

    auto call_second(const std::string& bytes) -> std::string
    {
        std::swap(settings.caller_address, second_settings.caller_address);
        auto out = call(bytes);
        std::swap(settings.caller_address, second_settings.caller_address);
        return out;
    }

    node_settings second_settings;
    std::unique_ptr<gateway> second;
};

// Guards against every instance reading every heartbeat from the store.
BOOST_FIXTURE_TEST_CASE(lets_the_coordinator_read_the_store, two_gateways)
{
    auto before = store.calls;
    run_for(seconds{3});
    auto both = store.calls - before;
    second.reset();
    run_for(seconds{1});
    before = store.calls;
    run_for(seconds{3});
    auto alone = store.calls - before;
    // The second instance only renews its group membership, with four calls.
    BOOST_TEST(both <= alone + 6);
}

BOOST_FIXTURE_TEST_CASE(gets_changes_from_the_coordinator, two_gateways)
{
    BOOST_TEST(status(call_second(request("/keyed/1", "r1", key_header(5)))) == "200");
    store.put("keyed.op", "config", with_route(5, "new"));
    store.put("keyed.servers", "a", plain_server_1.entry("plain", "draining", 2));
    run_for(milliseconds{900});
    plain_server_1.executed_request_ids.clear();
    for (int n = 0; n < 4; ++n) {
        BOOST_TEST(status(call_second(request("/new/1", "n" + std::to_string(n)))) == "200");
    }
    BOOST_TEST(plain_server_1.executed_request_ids.empty());
}

// Guards against missing a new configuration after the coordinator, which reads the store for all
// instances, has ended.
BOOST_FIXTURE_TEST_CASE(reads_the_store_itself_after_the_coordinator_has_ended, two_gateways)
{
    instance.reset();
    store.expire_membership();
    store.put("keyed.op", "config", with_route(5, "new"));
    run_for(milliseconds{1900});
    BOOST_TEST(status(call_second(request("/new/1", "r1"))) == "200");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(for_operators)

BOOST_AUTO_TEST_CASE(serves_counters_and_histograms)
{
    start();
    call(request("/read/1", "r1"));
    raw_connection metrics{
        {"127.0.0.1", static_cast<std::uint16_t>(settings.peer_address.port + 1)}};
    metrics.send("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    run_until([&] {
        metrics.receive();
        return is_whole(metrics.received);
    });
    BOOST_TEST(metrics.received.find("cornelswitch_requests_total 1") != std::string::npos);
    BOOST_TEST(metrics.received.find("cornelswitch_request_ms_bucket{label=\"read\"") !=
               std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
