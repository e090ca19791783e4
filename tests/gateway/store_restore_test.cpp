#include "tests/gateway/gateway_fixture.h"

#include <algorithm>
#include <set>

namespace cornelswitch::test {
namespace {

/// A copy of one topic of a store that names its era.
struct restored_topic_fixture : loop_fixture {
    restored_topic_fixture()
    {
        store.era = 1;
        topic_options options{"keyed.test", duration::zero(), milliseconds{50}, milliseconds{300},
                              true};
        options.keeps_after_restore = [](const std::string& key) { return key == "kept"; };
        topic = std::make_unique<store_topic>(loop, client, events, options, store_topic::hooks{});
        client.set_on_new_era([this](store_era) {
            ++restores;
            topic->on_store_era();
        });
    }

    fake_store store{loop};
    unary_client connections{loop, store.address(), {}};
    event_log events{loop.time(), -1, "i1", "z1"};
    store_client client{loop, connections, events};
    int restores{0};
    std::unique_ptr<store_topic> topic;
};

BOOST_FIXTURE_TEST_SUITE(a_topic_of_a_restored_store, restored_topic_fixture)

// Guards against a copy that continues at an offset which the store has assigned again, and against
// servers and evacuations that are forgotten until they are written again.
BOOST_AUTO_TEST_CASE(is_loaded_anew_and_keeps_what_it_knows)
{
    store.put("keyed.test", "a", "1");
    store.take_copy();
    store.put("keyed.test", "a", "2");
    store.put("keyed.test", "b", "1");
    store.put("keyed.test", "c", "1");
    store.put("keyed.test", "kept", "1");
    topic->start();
    run_until([&] { return topic->end() == log_offset{5}; });
    BOOST_TEST(restores == 1);

    store.restore();
    store.put("keyed.test", "d", "1");
    run_until([&] { return restores == 2 && !topic->awaits_copy(); });
    BOOST_TEST((topic->end() == log_offset{2}));
    BOOST_TEST(topic->records().at("a") == "1");
    BOOST_TEST(topic->records().at("b") == "1");
    BOOST_TEST(topic->records().at("d") == "1");
    BOOST_TEST(topic->snapshot().size() == 2U);
    store.put("keyed.test", "b", "2");
    run_until([&] { return !topic->records().contains("c"); });
    BOOST_TEST(topic->records().at("b") == "2");
    BOOST_TEST(topic->records().at("kept") == "1");
    BOOST_TEST(topic->dropped_records() == 1U);
    store.put("keyed.test", "kept", "");
    run_until([&] { return !topic->records().contains("kept"); });
}

// Guards against a write that the restored store accepts because the offset of its condition has
// been assigned again, and that its writer takes for the newest record.
BOOST_AUTO_TEST_CASE(takes_no_write_on_a_condition_of_an_earlier_era)
{
    store.put("keyed.test", "a", "1");
    store.take_copy();
    store.put("keyed.test", "lost", "1");
    conditional_topic_writer writer{loop, client, events, "keyed.test"};
    writer.set_copy(*topic);
    client.set_on_new_era([&](store_era) {
        ++restores;
        writer.on_store_era();
        topic->on_store_era();
    });
    topic->start();
    run_until([&] { return topic->end() == log_offset{2}; });
    writer.on_copy_updated();

    store.restore();
    store.put("keyed.test", "new", "1");
    std::vector<bool> knew_new;
    int stored = 0;
    writer.write(
        "w",
        [&]() -> std::optional<std::string> {
            knew_new.push_back(topic->records().contains("new"));
            return "1";
        },
        [&](time_point) { ++stored; });
    run_until([&] { return restores == 2; });
    BOOST_TEST(stored == 0);
    run_until([&] { return !topic->awaits_copy(); });
    writer.on_copy_updated();
    run_until([&] { return stored == 1; });
    BOOST_REQUIRE(knew_new.size() == 2U);
    BOOST_TEST(!knew_new[0]);
    BOOST_TEST(knew_new[1]);
}

BOOST_AUTO_TEST_SUITE_END()

/// Three gateways with one store.
struct three_gateways : gateway_fixture {
    three_gateways()
    {
        store.era = 1;
        settings.is_first_start = true;
    }

    auto start_all() -> void
    {
        start();
        for (int n = 2; n <= 3; ++n) {
            auto more = settings;
            more.node = instance_id{"i" + std::to_string(n)};
            more.caller_address = {"127.0.0.1", free_port()};
            more.readiness_address = {"127.0.0.1", free_port()};
            more.peer_address = {"127.0.0.1", free_port_pair()};
            others_settings.push_back(more);
            others.push_back(std::make_unique<gateway>(loop, more, events,
                                                       boot_id{static_cast<std::uint64_t>(7 + n)}));
            auto started = others.back()->start();
            if (started.has_error()) {
                BOOST_FAIL(started.error().message);
            }
        }
        callers = {settings.caller_address, others_settings[0].caller_address,
                   others_settings[1].caller_address};
        for (std::size_t n = 0; n < callers.size(); ++n) {
            run_until([&] { return answer(n, "/keyed/1", key_header(5)) == "200"; });
        }
    }

    /// Sends a request to one gateway and returns the status.
    auto answer(std::size_t n, const std::string& path, const std::string& more = "") -> std::string
    {
        raw_connection connection{callers.at(n)};
        connection.send(request(path, "r" + std::to_string(++requests), more));
        run_until([&] {
            connection.receive();
            return is_whole(connection.received);
        });
        return status(connection.received);
    }

    auto owners(std::uint32_t key) -> int
    {
        return (k1.holds_key(key) ? 1 : 0) + (k2.holds_key(key) ? 1 : 0);
    }

    std::vector<node_settings> others_settings;
    std::vector<std::unique_ptr<gateway>> others;
    std::vector<endpoint> callers;
    int requests{0};
};

BOOST_FIXTURE_TEST_SUITE(gateways_whose_store_is_restored, three_gateways)

// Guards against two owners of a key, a request that runs twice, an older configuration and a
// service that stays away.
BOOST_AUTO_TEST_CASE(serve_as_before)
{
    start_all();
    store.take_copy();
    store.put("keyed.op", "config", with_route(2, "more"));
    for (std::size_t n = 0; n < callers.size(); ++n) {
        run_until([&] { return answer(n, "/more/1") == "200"; });
    }
    auto highest_token = [this] {
        std::uint64_t out = 0;
        for (const auto& [range, token] : k1.lease_tokens) {
            out = std::max(out, token);
        }
        return out;
    };
    auto token = highest_token();

    store.restore();
    auto until = loop.now() + seconds{5};
    while (loop.now() < until) {
        for (std::size_t n = 0; n < callers.size(); ++n) {
            answer(n, "/write/1");
            BOOST_TEST(answer(n, "/more/1") == "200");
            answer(n, "/keyed/1", key_header(5));
            BOOST_TEST(owners(5) <= 1);
        }
        run_for(milliseconds{100});
    }
    std::set<std::string> executed;
    for (const auto* server : {&plain_server_1, &plain_server_2}) {
        for (const auto& id : server->executed_request_ids) {
            BOOST_TEST(executed.insert(id).second);
        }
    }
    for (std::size_t n = 0; n < callers.size(); ++n) {
        run_until([&] { return answer(n, "/keyed/1", key_header(5)) == "200"; });
        run_until([&] { return answer(n, "/write/1") == "200"; });
    }
    run_until([&] { return highest_token() > (2ULL << 40U); });
    BOOST_TEST(token > (1ULL << 40U));
    BOOST_TEST(token < (2ULL << 40U));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch::test
