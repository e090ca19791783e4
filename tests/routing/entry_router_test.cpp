#include "routing/entry_router.h"

#include "core/hash.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace cornelswitch;
using namespace std::chrono_literals;

namespace {

/// Two zones with two servers each. Service `lookup` is keyed, and server s0 owns all of its slots.
/// Service `files` is not keyed. The dispatcher of server sN is instance iN.
struct fixture {
    fixture() : view{make_view()}, router{{instance_id{"i0"}, zone_id{"z0"}, 1, 16, {}}}
    {
        router.set_view(std::make_shared<routing_view>(view), now);
    }

    static auto make_service(const char* name, bool keyed) -> service_view
    {
        service_view out;
        out.config.name = service_id{name};
        out.config.keyed = keyed;
        out.config.hash_slots = 4;
        for (auto n = 0; n < 4; ++n) {
            server_config server;
            server.id = server_id{"s" + std::to_string(n)};
            server.zone = zone_id{n < 2 ? "z0" : "z1"};
            out.config.servers.push_back(server);
        }
        out.policy.hedge_budget_percent = keyed ? 0 : 5;
        if (keyed) {
            out.slots.assign(4, slot_route{0, {5, 0}});
        }
        return out;
    }

    static auto make_view() -> routing_view
    {
        routing_view out;
        out.ready = true;
        for (auto n = 0; n < 4; ++n) {
            auto id = instance_id{"i" + std::to_string(n)};
            out.instances[id] = {id, zone_id{n < 2 ? "z0" : "z1"}, {}, true};
            out.dispatchers[server_id{"s" + std::to_string(n)}] = id;
        }
        for (auto keyed : {true, false}) {
            auto service = make_service(keyed ? "lookup" : "files", keyed);
            out.services[service.config.name] = std::make_shared<service_view>(service);
        }
        return out;
    }

    auto route(std::uint64_t id, const char* path, const char* method = "GET",
               std::optional<std::string_view> deadline = {}) -> route_decision
    {
        request_head head;
        head.method = method;
        head.path = path;
        head.deadline_ms = deadline;
        return router.route(request_id{id}, head, now);
    }

    auto fail(std::uint64_t id, std::uint32_t attempt, failure_kind kind,
              std::optional<instance_id> redirect = {}) -> route_decision
    {
        attempt_failure it;
        it.attempt = attempt;
        it.kind = kind;
        it.redirect = std::move(redirect);
        return router.on_failure(request_id{id}, it, now);
    }

    auto publish() -> std::vector<routed_request>
    {
        return router.set_view(std::make_shared<routing_view>(view), now);
    }

    auto record_latency(duration latency) -> void
    {
        for (std::uint64_t id = 10'000; id < 10'200; ++id) {
            auto sent = std::get<send_attempt>(route(id, "/files/a"));
            auto start = now;
            now += latency;
            router.on_response(request_id{id}, sent.attempt, {}, now);
            now = start + latency;
        }
    }

    time_point now{1s};
    routing_view view;
    entry_router router;
};

auto refused(const route_decision& it, refusal_reason reason, request_outcome outcome) -> bool
{
    const auto* found = std::get_if<refusal>(&it);
    return found != nullptr && found->reason == reason && found->outcome == outcome;
}

template<typename kind>
auto is(const route_decision& it) -> bool
{
    return std::holds_alternative<kind>(it);
}

constexpr auto not_run = request_outcome::not_run;
constexpr auto unknown = request_outcome::unknown;

} // namespace

BOOST_AUTO_TEST_SUITE(an_entry_router)

BOOST_FIXTURE_TEST_SUITE(when_a_request_arrives, fixture)

// Guards against sending a keyed request to any server but the owner of its slot.
BOOST_AUTO_TEST_CASE(sends_keyed_requests_to_the_owner)
{
    auto sent = std::get<send_attempt>(route(1, "/lookup/k1/rest"));
    BOOST_TEST(sent.server == server_id{"s0"});
    BOOST_TEST(sent.instance == instance_id{"i0"});
    BOOST_TEST(sent.slot->value() == hash_key("k1").value() % 4);
    BOOST_TEST(sent.epoch == (slot_epoch{5, 0}));
    BOOST_TEST((sent.deadline == now + 2s));
}

// Guards against routing malformed requests with default values instead of refusing them.
BOOST_AUTO_TEST_CASE(refuses_requests_that_it_cannot_classify)
{
    BOOST_TEST(refused(route(1, "/nothing/a"), refusal_reason::unknown_service, not_run));
    BOOST_TEST(refused(route(2, "/lookup"), refusal_reason::invalid_request, not_run));
    for (const auto* text : {"0", "600001", "-1", "1s", ""}) {
        BOOST_TEST(
            refused(route(3, "/files/a", "GET", text), refusal_reason::invalid_request, not_run));
    }
    view.ready = false;
    publish();
    BOOST_TEST(refused(route(4, "/files/a"), refusal_reason::not_ready, not_run));
}

// Guards against requests to servers, zones or instances that were taken out of service.
BOOST_AUTO_TEST_CASE(avoids_servers_and_instances_that_are_out_of_service)
{
    view.out_of_service.zones.insert(zone_id{"z1"});
    view.out_of_service.servers.insert(server_id{"s0"});
    publish();
    for (std::uint64_t id = 1; id <= 20; ++id) {
        BOOST_TEST(std::get<send_attempt>(route(id, "/files/a")).server == server_id{"s1"});
    }
    view.instances[instance_id{"i1"}].accepts_work = false;
    publish();
    now += out_of_service_tracker::instance_grace;
    BOOST_TEST(refused(route(30, "/files/a"), refusal_reason::no_server, not_run));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(after_a_failure, fixture)

// Guards against sending a non-idempotent request twice (R3 in docs/design.md).
BOOST_AUTO_TEST_CASE(retries_non_idempotent_requests_only_if_certainly_not_run)
{
    route(1, "/files/a", "POST");
    BOOST_TEST(is<send_attempt>(fail(1, 1, failure_kind::stream_refused)));
    BOOST_TEST(
        refused(fail(1, 2, failure_kind::connection_lost), refusal_reason::response_lost, unknown));
    route(2, "/files/a", "POST");
    now += 2s;
    auto due = router.poll(now);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(refused(due.front().decision, refusal_reason::response_lost, unknown));
}

// Guards against reporting not-run for a request of which an earlier attempt may have run (R4 in
// docs/design.md).
BOOST_AUTO_TEST_CASE(remembers_that_an_earlier_attempt_may_have_run)
{
    route(1, "/files/a");
    BOOST_TEST(is<send_attempt>(fail(1, 1, failure_kind::connection_lost)));
    auto last = fail(1, 2, failure_kind::overloaded);
    BOOST_TEST(refused(last, refusal_reason::retry_budget_exhausted, unknown));
}

// Guards against retries that multiply the load when all attempts fail.
BOOST_AUTO_TEST_CASE(keeps_retries_within_the_budget)
{
    for (std::uint64_t id = 1; id <= 1000; ++id) {
        std::uint32_t attempt = 1;
        auto decision = route(id, "/files/a");
        while (is<send_attempt>(decision)) {
            decision = fail(id, attempt++, failure_kind::connection_lost);
        }
        BOOST_TEST(is<refusal>(decision));
        BOOST_TEST(attempt <= entry_router::max_attempts + 1);
    }
    BOOST_TEST(router.statistics().retries <= 101U);
    BOOST_TEST(router.statistics().retries >= 90U);
}

// Guards against sending a repeated Idempotency-Key to a dispatcher that has not seen it.
BOOST_AUTO_TEST_CASE(sends_a_repeated_idempotency_key_to_the_same_server)
{
    request_head head;
    head.method = "POST";
    head.path = "/files/a";
    std::set<std::string> servers;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        auto key = "key" + std::to_string(id);
        head.idempotency_key = key;
        auto first = std::get<send_attempt>(router.route(request_id{2 * id}, head, now));
        auto second = std::get<send_attempt>(router.route(request_id{2 * id + 1}, head, now));
        BOOST_TEST(first.server == second.server);
        BOOST_TEST(is<refusal>(fail(2 * id, 1, failure_kind::overloaded)));
        servers.insert(first.server.value());
    }
    BOOST_TEST(servers.size() == 4U);
    view.out_of_service.servers.insert(server_id{"s2"});
    publish();
    for (std::uint64_t id = 1; id <= 40; ++id) {
        auto key = "key" + std::to_string(id);
        head.idempotency_key = key;
        auto decision = router.route(request_id{100 + id}, head, now);
        BOOST_TEST(
            (is<send_attempt>(decision) || refused(decision, refusal_reason::no_server, not_run)));
        now += 2s;
    }
    BOOST_TEST(is<send_attempt>(router.route(request_id{200}, head, now + 1s)));
}

// Guards against retrying at the server that has just failed while others are available.
BOOST_AUTO_TEST_CASE(retries_at_another_server)
{
    auto first = std::get<send_attempt>(route(1, "/files/a"));
    auto second = std::get<send_attempt>(fail(1, 1, failure_kind::connection_refused));
    BOOST_TEST(first.server != second.server);
}

// Guards against redirects that are not remembered, and against endless redirects.
BOOST_AUTO_TEST_CASE(follows_and_remembers_redirects)
{
    route(1, "/lookup/k1");
    auto redirected =
        std::get<send_attempt>(fail(1, 1, failure_kind::wrong_dispatcher, instance_id{"i2"}));
    BOOST_TEST(redirected.instance == instance_id{"i2"});
    BOOST_TEST(std::get<send_attempt>(route(2, "/lookup/k1")).instance == instance_id{"i2"});
    auto decision = route_decision{redirected};
    std::uint32_t attempt = 2;
    for (auto n = 0; is<send_attempt>(decision); ++n) {
        auto next = n % 2 == 0 ? instance_id{"i3"} : instance_id{"i2"};
        decision = fail(1, attempt++, failure_kind::wrong_dispatcher, next);
    }
    BOOST_TEST(is<hold_request>(decision));
    BOOST_TEST(attempt <= entry_router::max_redirects + 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(while_a_slot_has_no_owner, fixture)

// Guards against requests that fail during a take-over although their deadline allows them to wait.
BOOST_AUTO_TEST_CASE(holds_requests_until_the_new_owner_is_known)
{
    route(1, "/lookup/k1");
    BOOST_TEST(is<hold_request>(fail(1, 1, failure_kind::server_unavailable)));
    now += 400ms;
    auto service = fixture::make_service("lookup", true);
    service.slots.assign(4, slot_route{3, {5, 1}});
    view.services[service_id{"lookup"}] = std::make_shared<service_view>(service);
    auto released = publish();
    BOOST_REQUIRE(released.size() == 1U);
    BOOST_TEST(std::get<send_attempt>(released.front().decision).server == server_id{"s3"});
}

// Guards against holding a request until its deadline although it cannot be served (R10 in
// docs/design.md).
BOOST_AUTO_TEST_CASE(refuses_at_once_requests_that_cannot_wait)
{
    view.dispatchers.clear();
    publish();
    BOOST_TEST(
        refused(route(1, "/lookup/k1", "GET", "900"), refusal_reason::slot_unavailable, not_run));
    BOOST_TEST(is<hold_request>(route(2, "/lookup/k1", "GET", "5000")));
    now += entry_router::max_hold_time;
    auto due = router.poll(now);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(refused(due.front().decision, refusal_reason::slot_unavailable, not_run));
    BOOST_TEST(refused(route(3, "/lookup/k1"), refusal_reason::slot_unavailable, not_run));
}

// Guards against held requests that use up the memory of an entry.
BOOST_AUTO_TEST_CASE(limits_the_number_of_held_requests)
{
    view.dispatchers.clear();
    publish();
    std::size_t held = 0;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        held += is<hold_request>(route(id, "/lookup/k1")) ? 1 : 0;
    }
    BOOST_TEST(held == 16U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(when_a_response_is_late, fixture)

// Guards against hedges beyond the budget, of keyed requests, and of non-idempotent requests.
BOOST_AUTO_TEST_CASE(hedges_only_idempotent_unkeyed_requests_within_the_budget)
{
    record_latency(5ms);
    for (std::uint64_t id = 1; id <= 400; ++id) {
        route(id, "/files/a", id % 2 == 0 ? "GET" : "POST");
        route(1000 + id, "/lookup/k1");
    }
    now += 500ms;
    auto due = router.poll(now);
    for (const auto& it : due) {
        BOOST_TEST(std::get<send_attempt>(it.decision).hedge);
        BOOST_TEST(it.id.value() % 2 == 0U);
        BOOST_TEST(it.id.value() <= 400U);
    }
    BOOST_TEST(due.size() > 0U);
    BOOST_TEST(router.statistics().hedges <= (200U + 400U) * 5 / 100 + 1);
}

// Guards against a slower second attempt that is left running or makes the request fail.
BOOST_AUTO_TEST_CASE(takes_the_first_response_of_two)
{
    record_latency(5ms);
    auto first = std::get<send_attempt>(route(1, "/files/a"));
    now += 100ms;
    auto due = router.poll(now);
    BOOST_REQUIRE(due.size() == 1U);
    auto second = std::get<send_attempt>(due.front().decision);
    BOOST_TEST(second.server != first.server);
    auto others = router.on_response(request_id{1}, second.attempt, {}, now);
    BOOST_REQUIRE(others.size() == 1U);
    BOOST_TEST(others.front().server == first.server);
    BOOST_TEST(is<await_attempt>(fail(1, first.attempt, failure_kind::connection_lost)));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against any order of failures in which a non-idempotent request is sent again although it
// may have run, or a request ends more than once or never.
BOOST_FIXTURE_TEST_CASE(keeps_its_invariants_under_random_failures, fixture)
{
    random_engine random{11};
    for (std::uint64_t id = 1; id <= 3000; ++id) {
        auto idempotent = uniform_below(random, 2) == 0;
        const auto* path = uniform_below(random, 2) == 0 ? "/lookup/k1" : "/files/a";
        auto decision = route(id, path, idempotent ? "GET" : "POST");
        auto may_have_run = false;
        for (auto step = 0; !is<refusal>(decision); ++step) {
            BOOST_REQUIRE(step < 100);
            if (const auto* sent = std::get_if<send_attempt>(&decision)) {
                BOOST_TEST((idempotent || !may_have_run));
                auto kind = static_cast<failure_kind>(uniform_below(random, 9));
                may_have_run = may_have_run || kind >= failure_kind::unknown_outcome;
                decision = fail(id, sent->attempt, kind, instance_id{"i1"});
                continue;
            }
            now += 50ms;
            for (auto& it : router.poll(now)) {
                BOOST_TEST(it.id.value() == id);
                decision = std::move(it.decision);
            }
        }
        BOOST_TEST((std::get<refusal>(decision).outcome == not_run) == !may_have_run);
        BOOST_TEST(router.find(request_id{id}) == nullptr);
        now += uniform_below(random, 20) * 1ms;
    }
}

BOOST_AUTO_TEST_SUITE_END()
