#include "adapters/h2o/http_client.h"
#include "adapters/h2o/http_server.h"
#include "tests/adapters/loop_fixture.h"
#include "tests/adapters/response_record.h"

using namespace cornelswitch;
using namespace cornelswitch::test;

namespace {

struct http_fixture : loop_fixture {
    exchange_handler handler = [](const std::shared_ptr<exchange>& it) {
        it->respond({200, {{"x-path", it->request().path}}, {}}, it->request().body);
    };
    std::unique_ptr<http_server> server =
        http_server::open(loop, {{"127.0.0.1", 0}}, [this](const std::shared_ptr<exchange>& it) {
            handler(it);
        }).value();
    http_client client{loop, server->address(), {}};

    auto send(http_request request) -> std::shared_ptr<response_record>
    {
        auto record = std::make_shared<response_record>();
        auto id = std::make_shared<http_client::call_id>(0);
        *id =
            client.send(std::move(request),
                        record_to(record, [this, id](std::size_t n) { client.consumed(*id, n); }));
        return record;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_http_client_and_server)

BOOST_AUTO_TEST_SUITE(when_the_response_is_complete)

// Guards against lost or altered bytes and headers of an ordinary request.
BOOST_FIXTURE_TEST_CASE(pass_method_path_headers_and_body, http_fixture)
{
    auto first = send({"POST", "/a?b=1", {}, "hello"});
    run_until([&] { return first->end.has_value(); });
    BOOST_TEST(first->is_complete());
    BOOST_TEST(first->body == "hello");
    BOOST_TEST(*find_header(first->head->headers, "x-path") == "/a?b=1");
}

// Guards against a body without a known length that is cut or never ends.
BOOST_FIXTURE_TEST_CASE(pass_a_body_of_unknown_length, http_fixture)
{
    handler = [](const std::shared_ptr<exchange>& it) {
        it->start({200, {}, {}});
        it->write("one");
        it->write("two");
        it->finish();
    };
    auto record = send({"GET", "/", {}, {}});
    run_until([&] { return record->end.has_value(); });
    BOOST_TEST(record->is_complete());
    BOOST_TEST(record->body == "onetwo");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_response_is_aborted)

// Guards against a truncated body that looks complete, with and without a known length, and
// before and after the first byte of the body.
BOOST_FIXTURE_TEST_CASE(report_a_failure_of_unknown_outcome, http_fixture)
{
    for (auto length : {std::optional<std::uint64_t>{}, std::optional<std::uint64_t>{100}}) {
        for (std::string_view part : {"", "part"}) {
            handler = [&](const std::shared_ptr<exchange>& it) {
                it->start({200, {}, length});
                it->write(part);
                it->abort();
            };
            auto record = send({"GET", "/", {}, {}});
            run_until([&] { return record->end.has_value(); });
            BOOST_TEST_INFO("length known " << length.has_value() << ", body " << part);
            BOOST_REQUIRE(record->has_failed());
            BOOST_CHECK(record->end->error().outcome == request_outcome::unknown);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_server_is_unreachable)

// Guards against a refused connection that is reported as a request that may have run.
BOOST_FIXTURE_TEST_CASE(report_that_the_request_did_not_run, http_fixture)
{
    server.reset();
    auto record = send({"POST", "/", {}, "x"});
    run_until([&] { return record->end.has_value(); });
    BOOST_TEST(record->has_failed());
    BOOST_CHECK(record->end->error().outcome == request_outcome::not_run);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_a_check_denies_the_write)

// Guards against a request that is sent after a lease has expired.
BOOST_FIXTURE_TEST_CASE(send_nothing, http_fixture)
{
    int requests = 0;
    handler = [&](const std::shared_ptr<exchange>& it) {
        ++requests;
        it->respond({}, "");
    };
    for (int n = 0; n < 2; ++n) {
        auto before = send({"GET", "/", {}, {}}); // Leaves a connection in the pool.
        run_until([&] { return before->end.has_value(); });
        auto record = std::make_shared<response_record>();
        client.send({"POST", "/", {}, "x"}, record_to(record), [] {
            return error{error_code::conflict, "lease-check", {}, "lapsed"};
        });
        run_until([&] { return record->end.has_value(); });
        BOOST_CHECK(record->end->error().outcome == request_outcome::not_run);
        BOOST_CHECK(record->end->error().cause.step == "lease-check");
    }
    BOOST_TEST(requests == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_receiver_is_slow)

// Guards against a response that is read into memory faster than it is consumed.
BOOST_FIXTURE_TEST_CASE(buffer_a_bounded_part_of_the_response, http_fixture)
{
    static constexpr std::size_t chunk = 64 * 1024;
    static constexpr std::size_t total = 64 * 1024 * 1024;
    std::size_t written = 0;
    std::shared_ptr<exchange> open;
    handler = [&](const std::shared_ptr<exchange>& it) {
        open = it;
        it->start({200, {}, total});
        auto more = [&written, raw = it.get()] {
            raw->write(std::string(chunk, 'x'));
            written += chunk;
            if (written == total) {
                raw->finish();
            }
        };
        it->on_sent = [more](std::size_t) { more(); };
        more();
    };
    auto record = std::make_shared<response_record>();
    auto id = client.send({"GET", "/", {}, {}}, record_to(record));
    run_until([&] { return record->body.size() > 256 * 1024; });
    run_for(std::chrono::milliseconds{50});
    BOOST_TEST(record->body.size() < 2U * 1024 * 1024);
    BOOST_TEST(written < total / 2);
    for (std::size_t seen = 0; !record->end; loop.run_once(std::chrono::milliseconds{1})) {
        client.consumed(id, record->body.size() - std::exchange(seen, record->body.size()));
    }
    BOOST_TEST(record->is_complete());
    BOOST_TEST(record->body.size() == total);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_caller_disconnects)

// Guards against work that continues for a caller that has closed its connection.
BOOST_FIXTURE_TEST_CASE(notify_the_handler, http_fixture)
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
    open->respond({503, {}, {}}, "");
    open.reset();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
