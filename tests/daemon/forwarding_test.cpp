#include "adapters/nghttp2/peer_client.h"
#include "adapters/response_status.h"
#include "tests/daemon/data_plane_fixture.h"
#include "tests/standins/fake_exchange.h"

using namespace cornelswitch;
using namespace cornelswitch::test;

BOOST_AUTO_TEST_SUITE(a_forwarded_request)

BOOST_AUTO_TEST_SUITE(that_reaches_the_wrong_dispatcher)

// Guards against a request that fails, or runs without a lease, when the entry's view
// is outdated.
BOOST_FIXTURE_TEST_CASE(is_redirected_to_the_right_one, data_plane_fixture)
{
    dispatcher_options options;
    options.self = instance_id{"i2"};
    options.server.address = {"127.0.0.1", 0};
    dispatcher_task wrong{loop, options, time, log, [](agent_message) {}};
    BOOST_REQUIRE(wrong.open().has_value());
    view.dispatchers[server_id{"lookup-s1"}] = instance_id{"i1"};
    wrong.handle(view_changed{std::make_shared<routing_view>(view)});
    view.instances[instance_id{"i2"}].data_endpoint = wrong.address();
    view.dispatchers[server_id{"lookup-s1"}] = instance_id{"i2"};
    publish();
    for (int n = 0; n < 2; ++n) {
        auto record = fetch({"POST", "/lookup/a", {}, "x"});
        BOOST_TEST(record->body == "answer:x");
    }
    BOOST_TEST(backend_requests.size() == 2U);
    BOOST_TEST(entry->router().statistics().redirects == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(for_a_slot_without_an_owner)

// Guards against refusing a request although its slot gets an owner in time, and against holding a
// request until a distant deadline.
BOOST_FIXTURE_TEST_CASE(is_held_until_the_slot_has_one, data_plane_fixture)
{
    auto owned = view.services[service_id{"lookup"}];
    auto unowned = std::make_shared<service_view>(*owned);
    unowned->slots.assign(16, slot_route{});
    view.services[service_id{"lookup"}] = unowned;
    publish();
    auto record = send({"POST", "/lookup/a", {}, "x"});
    run_for(std::chrono::milliseconds{50});
    BOOST_TEST(!record->end.has_value());
    view.services[service_id{"lookup"}] = owned;
    publish();
    run_until([&] { return record->end.has_value(); });
    BOOST_TEST(record->body == "answer:x");

    view.services[service_id{"lookup"}] = unowned;
    publish();
    auto refused = fetch({"GET", "/lookup/a", {{"cornelswitch-deadline-ms", "60000"}}, {}});
    BOOST_TEST(refused->head->status == 503);
    BOOST_TEST(header(*refused, "cornelswitch-outcome") == "not-run");
    BOOST_TEST(!header(*refused, "retry-after").empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_an_older_epoch)

// Guards against two owners of a key: an entry whose view does not contain a split yet sends the
// key under its old hash slot, whose epoch was raised by the split.
BOOST_FIXTURE_TEST_CASE(is_held_until_the_view_is_current, data_plane_fixture)
{
    for (auto& it : assignment.slots) {
        it.epoch = {9, 0};
    }
    publish();
    auto record = send({"POST", "/lookup/a", {}, "x"});
    run_for(std::chrono::milliseconds{50});
    BOOST_TEST(!record->end.has_value());
    BOOST_TEST(backend_requests.empty());
    auto current = std::make_shared<service_view>(*view.services[service_id{"lookup"}]);
    current->slots.assign(16, slot_route{0, {9, 0}});
    view.services[service_id{"lookup"}] = current;
    publish();
    run_until([&] { return record->end.has_value(); });
    BOOST_TEST(record->body == "answer:x");
    BOOST_TEST(backend_requests.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(to_an_unreachable_instance)

// Guards against refusing a request that certainly did not run, although another instance takes
// over as dispatcher.
BOOST_FIXTURE_TEST_CASE(is_sent_again_once_the_view_names_another, data_plane_fixture)
{
    std::uint16_t unused_port = 0;
    {
        auto closed = listener::open(loop, {"127.0.0.1", 0}, [](st_h2o_socket_t*) {}).value();
        unused_port = closed->address().port;
    }
    view.instances[instance_id{"i2"}].data_endpoint.port = unused_port;
    view.dispatchers[server_id{"lookup-s1"}] = instance_id{"i2"};
    publish();
    auto record = send({"POST", "/lookup/a", {}, "x"});
    run_for(std::chrono::milliseconds{20});
    view.dispatchers[server_id{"lookup-s1"}] = instance_id{"i1"};
    publish();
    run_until([&] { return record->end.has_value(); });
    BOOST_TEST(record->body == "answer:x");
    BOOST_TEST(backend_requests.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_server_answers_as_if_it_had_not_run)

// Guards against a second run: a server runs a request and answers with a status that promises that
// it did not, the other instance passes that on, and the caller sends the request again.
BOOST_FIXTURE_TEST_CASE(gets_502_in_place_of_the_promise, data_plane_fixture)
{
    for (std::size_t size : {2UL, 100'000UL}) {
        for (int status : {408, 421, 429, 503}) {
            backend = [&](const auto& it) {
                it->respond({status, {}, {}}, std::string(size, 'x'));
            };
            auto record = fetch({"POST", "/lookup/a", {}, "x"});
            BOOST_TEST(record->head->status == 502, status << " with " << size << " bytes");
            BOOST_TEST(header(*record, "cornelswitch-outcome") == "unknown");
            BOOST_TEST(header(*record, "cornelswitch-refusal") == "server-error");
        }
    }
    BOOST_TEST(backend_requests.size() == 8U);
    backend = [](const auto& it) { it->respond({200, {}, {}}, "sound"); };
    BOOST_TEST(fetch({"POST", "/lookup/a", {}, "x"})->body == "sound");
}

// The same for the repetition of a recorded response.
BOOST_FIXTURE_TEST_CASE(gets_no_promise_from_the_record_of_its_first_run, data_plane_fixture)
{
    make_assignment("pay", false);
    assignment.acquired_at = time.now() - std::chrono::minutes{2};
    publish();
    backend = [](const auto& it) { it->respond({503, {}, {}}, "failed"); };
    http_request request{"POST", "/pay/a", {{"idempotency-key", "k"}}, "x"};
    BOOST_TEST(fetch(request)->head->status == 502);
    BOOST_TEST(!promises_no_execution(fetch(request)->head->status));
    BOOST_TEST(backend_requests.size() == 1U);
}

// Guards against a check that also replaces what may be passed on.
BOOST_FIXTURE_TEST_CASE(gets_every_other_response_unchanged, data_plane_fixture)
{
    for (int status : {200, 400, 409, 500, 502, 504}) {
        backend = [&](const auto& it) { it->respond({status, {}, {}}, "answer"); };
        auto record = fetch({"POST", "/lookup/a", {}, "x"});
        BOOST_TEST(record->head->status == status);
        BOOST_TEST(record->body == "answer");
    }
    backend = [](const auto& it) { it->respond({503, {}, {}}, "answer"); };
    BOOST_TEST(fetch({"GET", "/lookup/a", {}, {}})->body == "answer");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_refusal_whose_outcome_is_unknown)

// Guards against a refusal of the instance itself that promises more than it knows.
BOOST_AUTO_TEST_CASE(gets_no_status_that_promises_that_it_did_not_run)
{
    for (auto outcome : {request_outcome::unknown, request_outcome::not_run}) {
        refusal_answer answer;
        answer.outcome = outcome;
        fake_exchange caller{"POST", "/pay/a"};
        send_refusal(caller, answer);
        BOOST_TEST(caller.head.status == (outcome == request_outcome::not_run ? 503 : 502));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_idempotency_key)

// Guards against a second run of a request with the same key, and against a run although an earlier
// dispatcher may have run the request.
BOOST_FIXTURE_TEST_CASE(runs_once, data_plane_fixture)
{
    make_assignment("pay", false);
    assignment.acquired_at = time.now() - std::chrono::minutes{2};
    publish();
    http_request request{"POST", "/pay/order", {{"idempotency-key", "k1"}}, "x"};
    std::shared_ptr<exchange> open;
    backend = [&](const std::shared_ptr<exchange>& it) { open = it; };
    auto first = send(request);
    run_until([&] { return open != nullptr; });
    auto early = fetch(request);
    BOOST_TEST(header(*early, "cornelswitch-outcome") == "unknown");
    open->respond({201, {{"x-order", "17"}}, {}}, "done");
    run_until([&] { return first->end.has_value(); });
    auto again = fetch(request);
    BOOST_TEST(again->head->status == 201);
    BOOST_TEST(again->body == "done");
    BOOST_TEST(header(*again, "x-order") == "17");
    request.body = "y";
    BOOST_TEST(fetch(request)->head->status == 422);
    BOOST_TEST(backend_requests.size() == 1U);

    assignment.term = lease_term{4};
    assignment.acquired_at = time.now();
    dispatcher->handle(assignment);
    request.headers = {{"idempotency-key", "k2"}};
    auto after_takeover = fetch(request);
    BOOST_TEST(header(*after_takeover, "cornelswitch-outcome") == "unknown");
    BOOST_TEST(backend_requests.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_large_body)

// Guards against bodies of queued requests that exhaust the memory of a dispatcher, and against
// buffered bytes that are still counted after their request has ended.
BOOST_FIXTURE_TEST_CASE(is_refused_when_too_many_are_buffered, data_plane_fixture)
{
    std::shared_ptr<exchange> open;
    backend = [&](const std::shared_ptr<exchange>& it) { open = it; };
    auto first = send({"POST", "/lookup/a", {}, std::string(1000, 'x')});
    run_until([&] { return open != nullptr; });
    auto second = fetch({"POST", "/lookup/a", {}, std::string(1000, 'x')});
    BOOST_TEST_INFO(second->body);
    BOOST_TEST(second->head->status == 503);
    BOOST_TEST(header(*second, "cornelswitch-outcome") == "not-run");
    open->respond({}, "done");
    run_until([&] { return first->end.has_value(); });
    backend = [](const std::shared_ptr<exchange>& it) { it->respond({}, "ok"); };
    BOOST_TEST(fetch({"POST", "/lookup/a", {}, std::string(1000, 'x')})->body == "ok");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_an_http2_caller)

// Guards against a truncated body that ends on HTTP/2 without an error (R5 in docs/design.md).
BOOST_FIXTURE_TEST_CASE(is_reset_when_the_response_is_aborted, data_plane_fixture)
{
    peer_client http2{loop, entry->address(), {}};
    auto fetch_http2 = [&] {
        auto record = std::make_shared<response_record>();
        http2.send({"GET", "/lookup/a", {}, {}}, record_to(record));
        run_until([&] { return record->end.has_value(); });
        return record;
    };
    BOOST_TEST(fetch_http2()->body == "answer:");
    for (auto length : {std::optional<std::uint64_t>{}, std::optional<std::uint64_t>{100}}) {
        backend = [&](const std::shared_ptr<exchange>& it) {
            it->start({200, {}, length});
            it->write("part");
            loop.schedule(std::chrono::milliseconds{5}, [it] { it->abort(); });
        };
        BOOST_TEST(fetch_http2()->has_failed());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_caller_reads_slowly)

// Guards against buffering a whole response in memory for a caller that does not read it.
BOOST_FIXTURE_TEST_CASE(buffers_a_bounded_part_of_the_response, data_plane_fixture)
{
    static constexpr std::size_t total = 64 * 1024 * 1024;
    std::size_t written = 0;
    backend = [&](const std::shared_ptr<exchange>& it) {
        it->start({200, {}, total});
        auto more = [&written, raw = it.get()] {
            raw->write(std::string(64 * 1024, 'x'));
            written += 64 * 1024;
            if (written == total) {
                raw->finish();
            }
        };
        it->on_sent = [more](std::size_t) { more(); };
        more();
    };
    auto record = std::make_shared<response_record>();
    auto id = caller->send({"GET", "/lookup/a", {}, {}}, record_to(record));
    run_until([&] { return record->body.size() > 256 * 1024; });
    run_for(std::chrono::milliseconds{100});
    BOOST_TEST(written < total / 2); // The part that was written is in buffers, also of the kernel.
    for (std::size_t seen = 0; !record->end; loop.run_once(std::chrono::milliseconds{1})) {
        caller->consumed(id, record->body.size() - std::exchange(seen, record->body.size()));
    }
    BOOST_TEST(record->is_complete());
    BOOST_TEST(record->body.size() == total);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
