#include "tests/processes/process_fixture.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using namespace test;

/// Crowds whose bytes together exceed the memory of the process several times over, if it keeps
/// them all. Crowds and bounds were fixed before the memory of the process was bounded.
struct crowd_fixture : process_fixture {
    crowd_fixture()
    {
        bulk.handle_request = [](fake_backend& self, received_request& request) {
            request.send(self.valid_response(request));
        };
    }

    /// The crowd's server keeps its requests and does not respond, except to GET.
    auto hold_posts() -> void
    {
        bulk.handle_request = [](fake_backend& self, received_request& request) {
            if (request.head.method == "GET") {
                request.send(self.valid_response(request));
            } else {
                request.body.clear();
                self.pending_requests.push_back(request);
            }
        };
    }

    const std::string bytes = std::string(64 * mib, 'x');

    auto body(std::size_t n) const -> std::string_view
    {
        return std::string_view{bytes}.substr(0, n);
    }
};

BOOST_AUTO_TEST_SUITE(a_gateway_process)

BOOST_FIXTURE_TEST_SUITE(with_a_crowd_that_sends_bodies, crowd_fixture)

// Guards against a process that ends because the bodies of many requests in progress are kept.
BOOST_AUTO_TEST_CASE(keeps_its_bound_with_many_whole_large_bodies)
{
    hold_posts();
    start();
    for (int n = 0; n < 32; ++n) {
        add_member(post_head(max_body), body(max_body)).piece = max_body;
    }
    run_crowd();
    check_process();
}

// Guards against bodies that never end and are kept as long as their caller wants.
BOOST_AUTO_TEST_CASE(keeps_its_bound_with_bodies_in_pieces_that_stop_one_byte_short)
{
    start();
    for (int n = 0; n < 32; ++n) {
        add_member(post_head(max_body), body(max_body - 1));
    }
    run_crowd();
    check_process();
}

// Guards against a log that is filled by refusals, or says nothing of them.
BOOST_AUTO_TEST_CASE(logs_once_that_its_memory_is_exhausted_and_once_that_it_is_free)
{
    auto count = [&](std::string_view event) {
        auto log = process->log();
        std::size_t out = 0;
        for (auto at = log.find(event); at != std::string::npos; at = log.find(event, at + 1)) {
            ++out;
        }
        return out;
    };
    start();
    for (int n = 0; n < 32; ++n) {
        add_member(post_head(max_body), body(max_body - 1));
    }
    run_crowd();
    BOOST_TEST(count(R"("memory-exhausted")") == 1U);
    BOOST_TEST(count(R"("memory-free")") == 0U);
    crowd.clear();
    run_until([&] { return count(R"("memory-free")") == 1; });
    BOOST_TEST(count(R"("memory-exhausted")") == 1U);
}

// Guards against large bodies that are announced and of which only the last byte is missing.
BOOST_AUTO_TEST_CASE(keeps_its_bound_with_whole_bodies_one_byte_short)
{
    start();
    for (int n = 0; n < 32; ++n) {
        add_member(post_head(max_body), body(max_body - 1)).piece = max_body;
    }
    run_crowd();
    check_process();
}

// Guards against a cost in memory for each chunk, and bodies without a declared length.
BOOST_AUTO_TEST_CASE(keeps_its_bound_with_chunks_of_one_byte)
{
    memory_mb = 40;
    start();
    std::string chunks;
    for (std::size_t n = 0; n < 2 * mib; ++n) {
        chunks += "1\r\nx\r\n";
    }
    for (int n = 0; n < 16; ++n) {
        add_member(post_head("Transfer-Encoding: chunked"), chunks).piece = mib;
    }
    run_crowd();
    check_process();
}

// Guards against a server that stops to read while many requests with bodies are sent to it.
BOOST_AUTO_TEST_CASE(keeps_its_bound_with_a_server_that_reads_nothing)
{
    start_with_silent_server();
    for (int n = 0; n < 32; ++n) {
        add_member(post_head(max_body), body(max_body)).piece = max_body;
    }
    run_crowd();
    check_process();
}

// Guards against the loss of a small instance to three bodies of the largest legal size.
BOOST_AUTO_TEST_CASE(keeps_its_bound_with_three_bodies_of_64_mib)
{
    memory_mb = 120;
    max_body = 64 * mib;
    start();
    for (int n = 0; n < 3; ++n) {
        add_member(post_head(max_body), body(max_body)).piece = mib;
    }
    run_crowd();
    check_process();
}

// Guards against a bound that is kept by refusing a request that the instance can carry.
BOOST_AUTO_TEST_CASE(serves_a_single_body_of_64_mib)
{
    memory_mb = 120;
    max_body = 64 * mib;
    start();
    auto& caller = add_member(post_head(max_body), body(max_body));
    caller.piece = mib;
    run_crowd();
    auto deadline = loop.now() + seconds{10};
    while (loop.now() < deadline && !gateway_fixture::is_whole(caller.connection->received) &&
           caller.connection->receive()) {
        loop.run_once(milliseconds{1});
    }
    BOOST_TEST(caller.connection->received.starts_with("HTTP/1.1 200"));
    check_process();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(with_a_crowd_that_reads_nothing, crowd_fixture)

// Guards against responses that are kept for callers that do not read them, also those that wait
// behind the first one of their connection.
BOOST_AUTO_TEST_CASE(keeps_its_bound_with_large_responses)
{
    bulk.handle_request = [&](fake_backend& self, received_request& request) {
        request.send(self.valid_response(request, bytes.substr(0, 240 * kib)));
    };
    start();
    constexpr int small_buffer = 4096;
    for (int n = 0; n < 16; ++n) {
        std::string requests;
        for (int k = 0; k < 24; ++k) {
            requests += "GET /bulk/1 HTTP/1.1\r\nHost: h\r\n" + request_headers + "\r\n";
        }
        crowd.push_back({std::make_unique<raw_connection>(callers_address, small_buffer),
                         std::move(requests),
                         {}});
        crowd.back().is_reading = false;
    }
    run_crowd();
    check_process();
}

// Guards against many callers each of which holds no more than an ordinary one does.
BOOST_AUTO_TEST_CASE(keeps_its_bound_with_one_large_response_for_each_of_many_callers)
{
    memory_mb = 36;
    bulk.handle_request = [&](fake_backend& self, received_request& request) {
        request.send(self.valid_response(request, bytes.substr(0, 240 * kib)));
    };
    start();
    constexpr int small_buffer = 4096;
    for (int n = 0; n < 400; ++n) {
        crowd.push_back({std::make_unique<raw_connection>(callers_address, small_buffer),
                         "GET /bulk/1 HTTP/1.1\r\nHost: h\r\n" + request_headers + "\r\n",
                         {}});
        crowd.back().is_reading = false;
    }
    run_crowd();
    check_process();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(with_a_crowd_that_sends_no_request, crowd_fixture)

// Guards against a process that has no descriptor left for its servers, its peers and its store.
BOOST_AUTO_TEST_CASE(keeps_its_bound_with_connections_that_send_nothing)
{
    max_descriptors = 350;
    start();
    for (int n = 0; n < 450; ++n) {
        add_member("", {});
    }
    run_crowd();
    check_process();
}

// Guards against heads of many short fields, each of which costs more memory than its bytes.
BOOST_AUTO_TEST_CASE(keeps_its_bound_with_half_heads_of_many_fields)
{
    start();
    std::string head = "GET /read/1 HTTP/1.1\r\nHost: h\r\n";
    while (head.size() < 16'000) {
        head += "a:\r\n";
    }
    for (int n = 0; n < 300; ++n) {
        add_member(head, {});
    }
    run_crowd();
    check_process();
}

// Guards against callers that keep a descriptor by a byte from time to time.
BOOST_AUTO_TEST_CASE(keeps_its_bound_with_heads_of_one_byte_at_a_time)
{
    max_descriptors = 350;
    start();
    for (int n = 0; n < 450; ++n) {
        add_member("GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Filler: 0123456789", {}).piece = 1;
    }
    run_crowd();
    check_process();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
