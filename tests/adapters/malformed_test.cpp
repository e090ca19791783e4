#include "adapters/h2o/http_client.h"
#include "adapters/h2o/http_server.h"
#include "adapters/nghttp2/peer_client.h"
#include "adapters/nghttp2/peer_server.h"
#include "core/random.h"
#include "tests/adapters/loop_fixture.h"
#include "tests/adapters/raw_connection.h"
#include "tests/adapters/response_record.h"

using namespace cornelswitch;
using namespace cornelswitch::test;

namespace {

constexpr std::uint64_t seed = 20260;

auto random_bytes(random_engine& random, std::size_t size) -> std::string
{
    std::string out(size, '\0');
    for (auto& it : out) {
        it = static_cast<char>(uniform_below(random, 256));
    }
    return out;
}

auto mutated(random_engine& random, std::string bytes) -> std::string
{
    auto changes = 1 + uniform_below(random, 6);
    for (std::uint64_t n = 0; n < changes; ++n) {
        bytes[uniform_below(random, bytes.size())] = static_cast<char>(uniform_below(random, 256));
    }
    bytes.resize(bytes.size() - uniform_below(random, bytes.size() / 4));
    return bytes;
}

/// Counts the warnings about malformed bytes of peers.
class warning_counter final : public logger {
public:
    auto log(log_level level, std::string_view step, std::string_view, std::string_view)
        -> void override
    {
        warnings += level == log_level::warning && step == "peer-read" ? 1 : 0;
    }
    int warnings{0};
};

struct malformed_fixture : loop_fixture {
    random_engine random{seed};
    warning_counter peer_log;
    int requests{0};
    exchange_handler handler = [this](const std::shared_ptr<exchange>& it) {
        ++requests;
        it->respond({}, it->request().body);
    };

    /// Bytes that a client of a peer instance sends for one valid request.
    auto recorded_peer_request() -> std::string
    {
        raw_listener listener;
        peer_client client{loop, listener.address(), {}};
        client.send({"POST", "/lease", {{"x-a", "b"}}, std::string(100, 'x')}, {});
        std::unique_ptr<raw_connection> accepted;
        run_until([&] { return (accepted = listener.accept()) != nullptr; });
        run_until([&] { return accepted->receive() && accepted->received.size() > 200; });
        return accepted->received;
    }

    auto wait_for_close(raw_connection& it) -> void
    {
        run_until([&] { return !it.receive(); });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(malformed_bytes)

// Guards against a server that crashes, hangs or runs a request on bytes that are not HTTP/2.
BOOST_FIXTURE_TEST_CASE(close_the_connection_of_a_peer, malformed_fixture)
{
    auto server = peer_server::open(loop, {{"127.0.0.1", 0}}, peer_log, handler).value();
    for (int n = 1; n <= 50; ++n) {
        raw_connection it{server->address()};
        it.send(random_bytes(random, 24 + n * 10));
        wait_for_close(it);
        BOOST_TEST(peer_log.warnings == n);
    }
    BOOST_TEST(requests == 0);
}

// Guards against faults in the handling of almost valid sessions: after any mutation the server
// still responds to other clients, and streams are removed with their connection.
BOOST_FIXTURE_TEST_CASE(do_not_disturb_other_sessions, malformed_fixture)
{
    auto server = peer_server::open(loop, {{"127.0.0.1", 0}}, peer_log, handler).value();
    auto valid = recorded_peer_request();
    for (int n = 0; n < 400; ++n) {
        raw_connection it{server->address()};
        it.send(mutated(random, valid));
        loop.run_once(std::chrono::milliseconds{1});
        it.receive();
    }
    run_until([&] { return server->open_streams() == 0; });
    peer_client client{loop, server->address(), {}};
    auto record = std::make_shared<response_record>();
    client.send({"POST", "/", {}, "ok"}, record_to(record));
    run_until([&] { return record->end.has_value(); });
    BOOST_TEST(record->body == "ok");
}

// Guards against a client that accepts random bytes as a response or waits for ever.
BOOST_FIXTURE_TEST_CASE(fail_the_calls_of_a_client, malformed_fixture)
{
    raw_listener listener;
    peer_client client{loop, listener.address(), {}};
    for (int n = 0; n < 30; ++n) {
        auto record = std::make_shared<response_record>();
        client.send({"POST", "/", {}, "x"}, record_to(record));
        std::unique_ptr<raw_connection> accepted;
        run_until([&] { return (accepted = listener.accept()) != nullptr; });
        run_until([&] { return accepted->receive() && accepted->received.size() > 100; });
        accepted->send(random_bytes(random, 200));
        run_until([&] { return record->end.has_value(); });
        BOOST_TEST(record->has_failed());
        BOOST_CHECK(record->end->error().outcome == request_outcome::unknown);
    }
}

// Guards against a response of a backend server that is forwarded although its end is ambiguous.
BOOST_FIXTURE_TEST_CASE(in_a_response_fail_the_call, malformed_fixture)
{
    raw_listener listener;
    http_client client{loop, listener.address(), {}};
    for (std::string_view answer :
         {"garbage\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nno framing",
          "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
          "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
          "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
          "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc", ""}) {
        auto record = std::make_shared<response_record>();
        client.send({"GET", "/", {}, {}}, record_to(record));
        std::unique_ptr<raw_connection> accepted;
        run_until([&] { return (accepted = listener.accept()) != nullptr; });
        run_until([&] { return accepted->receive() && !accepted->received.empty(); });
        accepted->send(answer);
        accepted.reset();
        run_until([&] { return record->end.has_value(); });
        BOOST_TEST_INFO(answer);
        BOOST_TEST(record->has_failed());
        BOOST_CHECK(record->end->error().outcome == request_outcome::unknown);
    }
}

// Guards against a chunked body that is truncated at the end of a read, and against a last chunk
// that is not recognized when it arrives separately or byte by byte.
BOOST_FIXTURE_TEST_CASE(are_distinguished_from_a_slow_chunked_body, malformed_fixture)
{
    raw_listener listener;
    http_client client{loop, listener.address(), {}};
    auto record = std::make_shared<response_record>();
    client.send({"GET", "/", {}, {}}, record_to(record));
    std::unique_ptr<raw_connection> accepted;
    run_until([&] { return (accepted = listener.accept()) != nullptr; });
    run_until([&] { return accepted->receive() && !accepted->received.empty(); });
    std::string_view answer =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (auto byte : answer) {
        accepted->send({&byte, 1});
        run_for(std::chrono::milliseconds{1});
    }
    run_until([&] { return record->end.has_value(); });
    BOOST_TEST(record->is_complete());
    BOOST_TEST(record->body == "abcde");
}

// Guards against a caller that makes the server crash or run a request with malformed bytes.
BOOST_FIXTURE_TEST_CASE(from_a_caller_run_no_request, malformed_fixture)
{
    auto server = http_server::open(loop, {{"127.0.0.1", 0}}, handler).value();
    for (int n = 0; n < 200; ++n) {
        raw_connection it{server->address()};
        bool is_http2 = n % 2 == 1;
        std::string preface = is_http2 ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" : "";
        it.send(preface + random_bytes(random, 300) + "\r\n\r\n");
        loop.run_once(std::chrono::milliseconds{1});
        it.receive();
    }
    BOOST_TEST(requests == 0);
    http_client client{loop, server->address(), {}};
    auto record = std::make_shared<response_record>();
    client.send({"POST", "/", {}, "ok"}, record_to(record));
    run_until([&] { return record->end.has_value(); });
    BOOST_TEST(record->body == "ok");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(oversized_messages_of_a_peer)

// Guards against unlimited memory for one message.
BOOST_FIXTURE_TEST_CASE(are_rejected_without_closing_the_session, malformed_fixture)
{
    peer_server_options options{{"127.0.0.1", 0}};
    options.limits.max_header_bytes = 2000;
    options.limits.max_body_bytes = 2000;
    auto server = peer_server::open(loop, options, peer_log, handler).value();
    peer_client client{loop, server->address(), {}};
    auto fetch = [&](http_request request) {
        auto record = std::make_shared<response_record>();
        client.send(std::move(request), record_to(record));
        run_until([&] { return record->end.has_value(); });
        return record;
    };
    BOOST_TEST(fetch({"GET", "/", {{"x-big", std::string(3000, 'x')}}, {}})->has_failed());
    BOOST_TEST(fetch({"POST", "/", {}, std::string(3000, 'x')})->has_failed());
    BOOST_TEST(requests == 0);
    BOOST_TEST(fetch({"POST", "/", {}, "ok"})->body == "ok");
    BOOST_TEST(client.connections_opened() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_unresponsive_connection)

// Guards against requests that hang for ever on a connection that has stopped responding while new
// connections work.
BOOST_FIXTURE_TEST_CASE(is_replaced, malformed_fixture)
{
    std::vector<st_h2o_socket_t*> unread_sockets;
    std::vector<std::shared_ptr<server_session>> sessions;
    server_session::hooks hooks{handler, [](server_session&, const error&) {}};
    auto accept = [&](st_h2o_socket_t* it) {
        if (unread_sockets.empty()) {
            unread_sockets.push_back(it); // Never read.
            return;
        }
        sessions.push_back(std::make_shared<server_session>(loop, http2_limits{}, "peer", hooks));
        sessions.back()->attach(it);
    };
    auto listener = listener::open(loop, {"127.0.0.1", 0}, accept).value();
    peer_client client{loop, listener->address(), {}};
    auto first = std::make_shared<response_record>();
    client.send({"GET", "/", {}, {}}, record_to(first));
    run_until([&] { return first->end.has_value(); });
    BOOST_CHECK(first->end->error().cause.code == error_code::timeout);
    BOOST_CHECK(first->end->error().outcome == request_outcome::unknown);
    auto second = std::make_shared<response_record>();
    client.send({"POST", "/", {}, "ok"}, record_to(second));
    run_until([&] { return second->end.has_value(); });
    BOOST_TEST(second->body == "ok");
    close_socket(unread_sockets.front());
    sessions.front()->close({error_code::canceled, "test", "", ""});
}

// Guards against replacing a connection whose peer only takes a long time for a request.
BOOST_FIXTURE_TEST_CASE(is_distinguished_from_a_slow_request, malformed_fixture)
{
    std::shared_ptr<exchange> open;
    handler = [&](const std::shared_ptr<exchange>& it) { open = it; };
    auto server = peer_server::open(loop, {{"127.0.0.1", 0}}, peer_log, handler).value();
    peer_client_options options;
    options.ping_after = std::chrono::milliseconds{20};
    options.ping_timeout = std::chrono::milliseconds{200};
    peer_client client{loop, server->address(), options};
    auto record = std::make_shared<response_record>();
    client.send({"GET", "/", {}, {}}, record_to(record));
    run_for(std::chrono::milliseconds{700});
    BOOST_REQUIRE(!record->end.has_value());
    open->respond({}, "late");
    run_until([&] { return record->end.has_value(); });
    BOOST_TEST(record->body == "late");
}

BOOST_AUTO_TEST_SUITE_END()
