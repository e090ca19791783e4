#include "tests/daemon/data_plane_fixture.h"

using namespace cornelswitch;
using namespace cornelswitch::test;

BOOST_AUTO_TEST_SUITE(a_request)

BOOST_AUTO_TEST_SUITE(that_a_backend_server_answers)

// Guards against responses that are altered or truncated on the way, and against missing headers in
// requests to the backend server.
BOOST_FIXTURE_TEST_CASE(reaches_the_caller_unchanged, data_plane_fixture)
{
    auto record = fetch({"GET", "/lookup/key1?x=1", {{"cornelswitch-tenant", "t1"}}, {}});
    BOOST_TEST(record->is_complete());
    BOOST_TEST(record->head->status == 200);
    BOOST_TEST(record->body == "answer:");
    BOOST_TEST(header(*record, "x-path") == "/lookup/key1?x=1");
    BOOST_TEST(header(*record, "cornelswitch-server") == "lookup-s1");
    BOOST_TEST(header(*record, "cornelswitch-load").empty());
    const auto& seen = backend_requests.at(0)->request().headers;
    BOOST_TEST(*find_header(seen, "cornelswitch-epoch") == "5.0");
    BOOST_TEST(*find_header(seen, "cornelswitch-term") == "3");
    BOOST_TEST(find_header(seen, "cornelswitch-request-id") != nullptr);
    BOOST_TEST(find_header(seen, "cornelswitch-tenant") == nullptr);
}

// Guards against a response that is delivered to a different request when the server responds out
// of order.
BOOST_FIXTURE_TEST_CASE(gets_its_own_response, data_plane_fixture)
{
    std::vector<std::shared_ptr<exchange>> open;
    backend = [&](const std::shared_ptr<exchange>& it) { open.push_back(it); };
    std::vector<std::shared_ptr<response_record>> records;
    for (const auto* name : {"a", "b", "c", "d", "e"}) {
        records.push_back(send({"GET", std::string{"/lookup/"} + name, {}, {}}));
    }
    run_until([&] { return open.size() == 5; });
    for (auto it = open.rbegin(); it != open.rend(); ++it) {
        (*it)->respond({200, {}, {}}, (*it)->request().path);
    }
    for (std::size_t n = 0; n < 5; ++n) {
        run_until([&] { return records[n]->end.has_value(); });
        BOOST_TEST(records[n]->body == std::string{"/lookup/"} + "abcde"[n]);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_response_is_aborted)

// Guards against a truncated body that the caller takes for complete (R5 in docs/design.md).
BOOST_FIXTURE_TEST_CASE(is_not_taken_for_complete, data_plane_fixture)
{
    for (auto length : {std::optional<std::uint64_t>{}, std::optional<std::uint64_t>{100}}) {
        backend = [&](const std::shared_ptr<exchange>& it) {
            it->start({200, {}, length});
            it->write("part");
            loop.schedule(std::chrono::milliseconds{5}, [it] { it->abort(); });
        };
        auto record = fetch({"GET", "/lookup/a", {}, {}});
        BOOST_TEST(record->has_failed());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_malformed)

// Guards against forwarding invalid requests, and against refusals without an outcome (R4 in
// docs/design.md).
BOOST_FIXTURE_TEST_CASE(is_refused_and_never_forwarded, data_plane_fixture)
{
    struct {
        int status;
        http_request request;
    } cases[] = {
        {404, {"GET", "/nothing/key", {}, {}}},
        {400, {"GET", "/lookup/", {}, {}}},
        {400, {"GET", "/lookup/a", {{"cornelswitch-deadline-ms", "0"}}, {}}},
        {400, {"GET", "/lookup/a", {{"cornelswitch-deadline-ms", "1x"}}, {}}},
        {400, {"GET", "/lookup/a", {{"cornelswitch-class", "fast"}}, {}}},
        {400, {"GET", "/lookup/a", {{"cornelswitch-key", "a"}, {"cornelswitch-key", "b"}}, {}}},
        {431, {"GET", "/lookup/a", {{"x-big", std::string(40'000, 'x')}}, {}}},
        {413, {"POST", "/lookup/a", {}, std::string(1001, 'x')}},
        {413, {"POST", "/lookup/a", {}, std::string((1 << 20) + 1, 'x')}},
    };
    for (auto& it : cases) {
        auto record = fetch(it.request);
        BOOST_TEST_INFO(it.request.path);
        BOOST_TEST(record->head->status == it.status);
        BOOST_TEST(header(*record, "cornelswitch-outcome") == "not-run");
    }
    BOOST_TEST(backend_requests.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_connection_to_the_server_is_lost)

// Guards against a second run of a non-idempotent request and against a wrong outcome (R3 and R4 in
// docs/design.md).
BOOST_FIXTURE_TEST_CASE(runs_once_and_ends_as_unknown, data_plane_fixture)
{
    make_assignment("pay", false);
    publish();
    backend = [](const std::shared_ptr<exchange>& it) { it->abort(); };
    auto record = fetch({"POST", "/pay/order", {}, "x"});
    BOOST_TEST(record->head->status == 502);
    BOOST_TEST(header(*record, "cornelswitch-outcome") == "unknown");
    BOOST_TEST(record->body.find("\"outcome\":\"unknown\"") != std::string::npos);
    BOOST_TEST(backend_requests.size() == 1U);
}

// Guards against failing an idempotent request after a single failed attempt.
BOOST_FIXTURE_TEST_CASE(is_retried_when_it_is_idempotent, data_plane_fixture)
{
    for (int n = 0; n < 30; ++n) { // Fills the retry budget.
        fetch({"GET", "/lookup/a", {}, {}});
    }
    auto before = backend_requests.size();
    backend = [&](const std::shared_ptr<exchange>& it) {
        backend_requests.size() == before + 1 ? it->abort() : it->respond({}, "second");
    };
    auto record = fetch({"GET", "/lookup/a", {}, {}});
    BOOST_TEST(record->body == "second");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_server_does_not_listen)

// Guards against treating a refused connection as a request that may have run.
BOOST_FIXTURE_TEST_CASE(ends_as_not_run, data_plane_fixture)
{
    server.reset();
    auto record = fetch({"POST", "/lookup/a", {{"cornelswitch-deadline-ms", "300"}}, "x"});
    BOOST_TEST(record->head->status >= 500);
    BOOST_TEST(header(*record, "cornelswitch-outcome") == "not-run");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_a_dispatcher_whose_lease_has_expired)

// Guards against a write by a dispatcher whose lease has expired during a pause (R1 in
// docs/design.md).
BOOST_FIXTURE_TEST_CASE(is_not_sent, data_plane_fixture)
{
    auto first = fetch({"GET", "/lookup/a", {}, {}});
    BOOST_TEST(first->is_complete());
    assignment.valid_until = time.now() + std::chrono::milliseconds{1};
    dispatcher->handle(assignment);
    time.shift = std::chrono::seconds{10};
    auto record = fetch({"POST", "/lookup/a", {{"cornelswitch-deadline-ms", "300"}}, "x"});
    BOOST_TEST(header(*record, "cornelswitch-outcome") == "not-run");
    BOOST_TEST(backend_requests.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_caller_disconnects)

// Guards against a backend server that keeps processing a request although the caller has left.
BOOST_FIXTURE_TEST_CASE(is_canceled_at_the_backend_server, data_plane_fixture)
{
    bool closed = false;
    std::string canceled;
    on_control = [&](const std::shared_ptr<exchange>& it) {
        if (it->request().path.starts_with("/_cornelswitch/cancel")) {
            canceled = it->request().path;
        }
        it->respond({}, "{}");
    };
    backend = [&](const std::shared_ptr<exchange>& it) { it->on_closed = [&] { closed = true; }; };
    auto record = send({"GET", "/lookup/a", {}, {}});
    run_until([&] { return backend_requests.size() == 1; });
    caller->cancel(last_call);
    run_until([&] { return closed && !canceled.empty(); });
    auto id = *find_header(backend_requests[0]->request().headers, "cornelswitch-request-id");
    BOOST_TEST(canceled == "/_cornelswitch/cancel?request=" + id);
    run_until([&] { return entry->open_requests() == 0; });
    BOOST_TEST(!record->end.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(during_a_graceful_shutdown)

// Guards against a graceful shutdown that interrupts a request (R7 in docs/design.md).
BOOST_FIXTURE_TEST_CASE(is_finished_before_the_tasks_report, data_plane_fixture)
{
    backend = [](const std::shared_ptr<exchange>&) {};
    auto record = send({"GET", "/lookup/a", {}, {}});
    run_until([&] { return backend_requests.size() == 1; });
    dispatcher->handle(drain_all{});
    entry->handle(entry_shutdown{});
    run_for(std::chrono::milliseconds{60});
    auto drained = [&] {
        return std::ranges::count_if(
            reports, [](const auto& it) { return std::holds_alternative<task_drained>(it); });
    };
    BOOST_TEST(drained() == 0);
    backend_requests[0]->respond({}, "late");
    run_until([&] { return drained() == 2; });
    // Bytes that were written must reach the caller even if the process ends now.
    entry.reset();
    run_until([&] { return record->end.has_value(); });
    BOOST_TEST(record->body == "late");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
