#include "adapters/nghttp2/peer_client.h"
#include "adapters/nghttp2/peer_server.h"
#include "tests/adapters/loop_fixture.h"
#include "tests/adapters/raw_connection.h"
#include "tests/adapters/response_record.h"

using namespace cornelswitch;
using namespace cornelswitch::test;

namespace {

struct peer_fixture : loop_fixture {
    exchange_handler handler = [](const std::shared_ptr<exchange>& it) {
        it->respond({200, {{"x-path", it->request().path}}, {}}, it->request().body);
    };
    std::unique_ptr<peer_server> server =
        peer_server::open(loop, {{"127.0.0.1", 0}}, log,
                          [this](const std::shared_ptr<exchange>& it) { handler(it); })
            .value();
    peer_client client{loop, server->address(), {}};

    auto send(http_request request) -> std::shared_ptr<response_record>
    {
        auto record = std::make_shared<response_record>();
        auto id = std::make_shared<peer_client::call_id>(0);
        *id =
            client.send(std::move(request),
                        record_to(record, [this, id](std::size_t n) { client.consumed(*id, n); }));
        return record;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_peer_client_and_server)

BOOST_AUTO_TEST_SUITE(when_the_connection_is_healthy)

// Guards against lost or mixed-up messages when many streams share one connection.
BOOST_FIXTURE_TEST_CASE(answer_every_request_with_its_own_body, peer_fixture)
{
    std::vector<std::shared_ptr<exchange>> open;
    handler = [&](const std::shared_ptr<exchange>& it) { open.push_back(it); };
    std::vector<std::shared_ptr<response_record>> records;
    records.reserve(300);
    for (int n = 0; n < 300; ++n) {
        records.push_back(send({"POST", "/" + std::to_string(n), {}, std::string(n * 50, 'a')}));
    }
    run_until([&] { return open.size() == 300; });
    for (auto it = open.rbegin(); it != open.rend(); ++it) {
        (*it)->respond({200, {{"x-path", (*it)->request().path}}, {}}, (*it)->request().body);
    }
    run_until([&] { return std::ranges::all_of(records, [](auto& it) { return !!it->end; }); });
    for (int n = 0; n < 300; ++n) {
        BOOST_TEST(records[n]->is_complete());
        BOOST_TEST(*find_header(records[n]->head->headers, "x-path") == "/" + std::to_string(n));
        BOOST_TEST(records[n]->body.size() == n * 50U);
    }
    BOOST_TEST(client.connections_opened() == 1U);
}

// Guards against a unary call that loses its response or never times out.
BOOST_FIXTURE_TEST_CASE(answer_or_time_out_unary_calls, peer_fixture)
{
    std::vector<unary_result> results;
    auto keep = [&](unary_result it) { results.push_back(std::move(it)); };
    client.call("/lease", "abc", std::chrono::seconds{5}, keep);
    run_until([&] { return results.size() == 1; });
    BOOST_TEST(results[0].value().body == "abc");
    handler = [](const std::shared_ptr<exchange>&) {};
    client.call("/lease", "abc", std::chrono::milliseconds{20}, keep);
    run_until([&] { return results.size() == 2; });
    BOOST_CHECK(results[1].error().cause.code == error_code::timeout);
    BOOST_CHECK(results[1].error().outcome == request_outcome::unknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_response_is_aborted)

// Guards against a truncated response that looks complete.
BOOST_FIXTURE_TEST_CASE(report_a_failure_of_unknown_outcome, peer_fixture)
{
    handler = [](const std::shared_ptr<exchange>& it) {
        it->start({200, {}, {}});
        it->write("part");
        it->abort();
    };
    auto record = send({"GET", "/", {}, {}});
    run_until([&] { return record->end.has_value(); });
    BOOST_TEST(record->has_failed());
    BOOST_CHECK(record->end->error().outcome == request_outcome::unknown);
}

// Guards against the outcome `not_run` for a connection that is lost after the request was sent.
BOOST_FIXTURE_TEST_CASE(report_a_lost_connection_as_unknown, peer_fixture)
{
    handler = [&](const std::shared_ptr<exchange>&) { loop.post([&] { server.reset(); }); };
    auto record = send({"POST", "/", {}, "x"});
    run_until([&] { return record->end.has_value(); });
    BOOST_CHECK(record->end->error().outcome == request_outcome::unknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_head_of_a_response_is_malformed)

/// A peer that sends raw HTTP/2 frames in response to the first request.
struct raw_peer_fixture : loop_fixture {
    /// Frame of HTTP/2 (RFC 9113, section 4.1) with less than 256 bytes of payload.
    static auto frame(char type, char flags, char stream, const std::string& payload) -> std::string
    {
        return std::string{'\0', '\0',  static_cast<char>(payload.size()), type, flags, '\0', '\0',
                           '\0', stream} +
               payload;
    }

    /// Field with a literal name (RFC 7541, section 6.2.2).
    static auto field(const std::string& name, const std::string& value) -> std::string
    {
        return std::string{'\0', static_cast<char>(name.size())} + name +
               static_cast<char>(value.size()) + value;
    }

    /// Returns what a client gets for a response with the head `fields`.
    auto respond_with(const std::string& fields) -> std::shared_ptr<response_record>
    {
        constexpr char headers = 1;
        constexpr char settings = 4;
        constexpr char end_stream_and_headers = 5;
        raw_listener listener;
        peer_client client{loop, listener.address(), {}};
        auto record = std::make_shared<response_record>();
        client.send({"GET", "/", {}, {}}, record_to(record));
        std::unique_ptr<raw_connection> accepted;
        run_until([&] { return (accepted = listener.accept()) != nullptr; });
        run_until([&] { return accepted->receive() && accepted->received.size() > 100; });
        accepted->send(frame(settings, 0, 0, "") +
                       frame(headers, end_stream_and_headers, 1, fields));
        run_until([&] { return record->end.has_value(); });
        return record;
    }
};

// Guards against an instance that passes a response on although the head, from an instance in
// trouble, is one that no server may send.
BOOST_FIXTURE_TEST_CASE(report_a_failure_for_an_impossible_status, raw_peer_fixture)
{
    for (const auto* status : {"000", "099", "101", "600", "2 0"}) {
        BOOST_TEST(respond_with(field(":status", status))->has_failed(), status);
    }
    BOOST_TEST(respond_with(field(":status", "599"))->is_complete());
}

BOOST_FIXTURE_TEST_CASE(report_a_failure_for_a_malformed_field_name, raw_peer_fixture)
{
    for (const auto* name : {"x a", "x\x01", "x ", " x"}) {
        auto record = respond_with(field(":status", "200") + field(name, "1"));
        BOOST_TEST(record->has_failed(), name);
    }
    BOOST_TEST(respond_with(field(":status", "200") + field("x", ""))->is_complete());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_peer_does_not_accept_the_request)

// Guards against the outcome `unknown` for a request that certainly did not run.
BOOST_FIXTURE_TEST_CASE(report_that_it_did_not_run, peer_fixture)
{
    server.reset();
    auto record = send({"POST", "/", {}, "x"});
    run_until([&] { return record->end.has_value(); });
    BOOST_CHECK(record->end->error().outcome == request_outcome::not_run);
    BOOST_CHECK(record->end->error().cause.code == error_code::connection_refused);
}

// Guards against a planned shutdown that interrupts a request or accepts another one.
BOOST_FIXTURE_TEST_CASE(finish_requests_in_progress_before_a_shutdown, peer_fixture)
{
    std::vector<std::shared_ptr<exchange>> open;
    handler = [&](const std::shared_ptr<exchange>& it) { open.push_back(it); };
    auto first = send({"POST", "/", {}, "x"});
    run_until([&] { return open.size() == 1; });
    server->shut_down();
    auto second = send({"POST", "/", {}, "y"});
    run_until([&] { return second->end.has_value(); });
    BOOST_CHECK(second->end->error().outcome == request_outcome::not_run);
    open[0]->respond({}, "done");
    run_until([&] { return first->end.has_value(); });
    BOOST_TEST(first->body == "done");
    BOOST_TEST(open.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_receiver_is_slow)

// Guards against a dispatcher that buffers a complete response for a slow entry instance, and
// against a slow stream that blocks the other streams of its connection.
BOOST_FIXTURE_TEST_CASE(limit_its_stream_and_serve_the_others, peer_fixture)
{
    constexpr std::size_t size = 8 * 1024 * 1024;
    std::size_t sent = 0;
    handler = [&](const std::shared_ptr<exchange>& it) {
        if (it->request().path == "/big") {
            it->on_sent = [&](std::size_t n) { sent += n; };
            it->respond({}, std::string(size, 'x'));
        } else {
            it->respond({}, "small");
        }
    };
    auto slow = std::make_shared<response_record>();
    auto id = client.send({"GET", "/big", {}, {}}, record_to(slow));
    run_until([&] { return sent >= 256 * 1024; });
    auto other = send({"GET", "/small", {}, {}});
    run_until([&] { return other->end.has_value(); });
    BOOST_TEST(sent <= 256U * 1024);
    for (std::size_t seen = 0; !slow->end; loop.run_once(std::chrono::milliseconds{1})) {
        client.consumed(id, slow->body.size() - std::exchange(seen, slow->body.size()));
    }
    BOOST_TEST(slow->body.size() == size);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_call_is_canceled)

// Guards against a server that goes on with a request after the client has canceled it.
BOOST_FIXTURE_TEST_CASE(notify_the_server, peer_fixture)
{
    std::shared_ptr<exchange> open;
    bool closed = false;
    handler = [&](const std::shared_ptr<exchange>& it) {
        open = it;
        it->on_closed = [&] { closed = true; };
    };
    auto record = std::make_shared<response_record>();
    auto id = client.send({"GET", "/", {}, {}}, record_to(record));
    run_until([&] { return open != nullptr; });
    client.cancel(id);
    run_until([&] { return closed; });
    BOOST_TEST(!record->end.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
