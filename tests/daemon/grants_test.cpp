#include "core/intervals.h"
#include "core/slot_set.h"
#include "ownership/grant_table.h"
#include "tests/daemon/data_plane_fixture.h"

#include <nlohmann/json.hpp>

using namespace cornelswitch;
using namespace cornelswitch::test;

namespace {

/// A backend server that checks grants.
struct grants_fixture : data_plane_fixture {
    grant_table table{boot_id{99}};
    bool unresponsive{false};
    std::vector<std::shared_ptr<exchange>> unanswered;
    int grant_messages{0};

    grants_fixture()
    {
        on_control = [this](const std::shared_ptr<exchange>& it) { answer(it); };
        dispatcher->handle(dispatcher_assignment_ended{assignment.server.id, assignment.term});
        assignment.server.checks_grants = true;
        assignment.term = lease_term{4};
        dispatcher->handle(assignment);
    }

    auto answer(const std::shared_ptr<exchange>& it) -> void
    {
        if (unresponsive) {
            unanswered.push_back(it);
            return;
        }
        if (it->request().path == "/_cornelswitch/grants") {
            ++grant_messages;
            set_grants(it);
            return;
        }
        it->respond({200, {{"cornelswitch-boot", "99"}}, {}}, "{}");
    }

    auto set_grants(const std::shared_ptr<exchange>& it) -> void
    {
        auto body = nlohmann::json::parse(it->request().body);
        grant_message message;
        message.term = lease_term{body["term"].get<std::uint64_t>()};
        message.version = body["version"];
        message.ttl = std::chrono::milliseconds{body["ttl_ms"].get<int>()};
        message.full = body["full"];
        for (const auto& group : body["grants"]) {
            auto slots = slot_set::parse(group["slots"].get<std::string>()).value();
            message.grants.push_back({service_id{group["service"]}, slots, {5, 0}});
        }
        for (const auto& group : body["revoke"]) {
            auto slots = slot_set::parse(group["slots"].get<std::string>()).value();
            message.revoke.push_back({service_id{group["service"]}, slots});
        }
        auto reply = table.apply(message, time.now());
        nlohmann::json out{{"boot", reply.boot.value()}, {"term", reply.term.value()},
                           {"version", reply.version},   {"running", reply.running},
                           {"held", reply.held},         {"draining", reply.draining}};
        it->respond({reply.refused_term ? 409 : 200, {}, {}}, out.dump());
    }

    auto held_slot_count() const -> std::size_t
    {
        std::size_t n = 0;
        for (const auto& group : table.held(time.now())) {
            n += group.slots.size();
        }
        return n;
    }

    template<typename message>
    auto last_report() const -> const message*
    {
        const message* out = nullptr;
        for (const auto& it : reports) {
            if (const auto* found = std::get_if<message>(&it)) {
                out = found;
            }
        }
        return out;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_dispatcher_of_a_server_that_checks_grants)

// Guards against a request that reaches the server before the grant for its slot.
BOOST_FIXTURE_TEST_CASE(grants_the_slots_before_it_sends_requests, grants_fixture)
{
    bool was_held = false;
    backend = [&](const std::shared_ptr<exchange>& it) {
        was_held = held_slot_count() == 16;
        it->respond({}, "ok");
    };
    auto record = fetch({"GET", "/lookup/a", {}, {}});
    BOOST_TEST(record->body == "ok");
    BOOST_TEST(was_held);
}

// Guards against grants that expire although the server answers.
BOOST_FIXTURE_TEST_CASE(renews_the_grants, grants_fixture)
{
    run_until([&] { return held_slot_count() == 16 && grant_messages >= 6; });
    BOOST_TEST(last_report<server_lost>() == nullptr);
}

// Guards against reporting a slot as drained while one of its requests is in progress or the server
// still holds the grant.
BOOST_FIXTURE_TEST_CASE(reports_a_drained_slot_once_it_is_free, grants_fixture)
{
    run_until([&] { return held_slot_count() == 16; });
    std::shared_ptr<exchange> open;
    backend = [&](const std::shared_ptr<exchange>& it) { open = it; };
    auto record = send({"GET", "/lookup/a", {}, {}});
    run_until([&] { return open != nullptr; });
    auto slot = *find_header(open->request().headers, "cornelswitch-slot");
    slot_index index{static_cast<std::uint32_t>(std::stoul(slot))};
    assignment.draining_slots = {index};
    dispatcher->handle(assignment);
    run_for(std::chrono::milliseconds{60});
    BOOST_TEST(last_report<slots_drained>() == nullptr);
    auto refused = fetch({"GET", "/lookup/a", {{"cornelswitch-deadline-ms", "100"}}, {}});
    BOOST_TEST(header(*refused, "cornelswitch-outcome") == "not-run");
    open->respond({}, "done");
    run_until([&] { return last_report<slots_drained>() != nullptr; });
    BOOST_TEST(record->body == "done");
    BOOST_TEST(held_slot_count() == 15U);
    BOOST_TEST(last_report<slots_drained>()->slots.at(0).slot == index);
}

// Guards against a frozen server that keeps its slots, against requests that are sent to it, and
// against grants that are renewed after the loss has been reported.
BOOST_FIXTURE_TEST_CASE(reports_an_unresponsive_server_and_stops_renewing, grants_fixture)
{
    run_until([&] { return held_slot_count() == 16; });
    unresponsive = true;
    run_until([&] { return last_report<server_lost>() != nullptr; });
    auto expiry = last_report<server_lost>()->grants_expired_at;
    auto messages = grant_messages;
    auto requests_before = backend_requests.size();
    auto record = fetch({"GET", "/lookup/a", {{"cornelswitch-deadline-ms", "100"}}, {}});
    BOOST_TEST(header(*record, "cornelswitch-outcome") == "not-run");
    unresponsive = false;
    run_until([&] { return last_report<server_available>() != nullptr; });
    BOOST_CHECK(last_report<server_available>()->boot == boot_id{99});
    // The agent has not handled the reports yet, so the dispatcher must not renew the grants.
    run_until([&] { return time.now() >= expiry; });
    BOOST_TEST(grant_messages == messages);
    BOOST_TEST(backend_requests.size() == requests_before);
    BOOST_TEST(held_slot_count() == 0U);
    assignment.availability_reports_handled = 2;
    dispatcher->handle(assignment);
    run_until([&] { return held_slot_count() == 16; });
}

// Guards against a dispatcher that keeps sending requests after the server has accepted a
// dispatcher with a higher term.
BOOST_FIXTURE_TEST_CASE(stops_when_the_server_knows_a_higher_term, grants_fixture)
{
    run_until([&] { return held_slot_count() == 16; });
    grant_message newer;
    newer.term = lease_term{9};
    newer.full = true;
    table.apply(newer, time.now());
    auto messages = grant_messages;
    run_until([&] { return grant_messages > messages; });
    run_for(std::chrono::milliseconds{20});
    auto requests_before = backend_requests.size();
    auto record = fetch({"GET", "/lookup/a", {{"cornelswitch-deadline-ms", "100"}}, {}});
    BOOST_TEST(header(*record, "cornelswitch-outcome") == "not-run");
    BOOST_TEST(backend_requests.size() == requests_before);
}

BOOST_AUTO_TEST_SUITE_END()
