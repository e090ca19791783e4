#include "tests/gateway/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using namespace test;

/// A candidate that sends only its first updates and keepalives, and so never learns of changes.
class lagging_candidate {
public:
    lagging_candidate(event_loop& loop, std::vector<topic_update> first_updates)
        : loop_{loop}, first_updates_{std::move(first_updates)},
          self_{instance_id{"stuck"}, zone_id{"z1"}, {"127.0.0.1", free_port_pair()}, 0.5},
          listener_{
              listener::open(loop, self_.address, [this](auto* socket) { accept(socket); }).value()}
    {
        send_keepalives();
    }
    lagging_candidate(const lagging_candidate&) = delete;
    auto operator=(const lagging_candidate&) -> lagging_candidate& = delete;
    ~lagging_candidate() { loop_.cancel(timer_); }

    auto self() const -> const candidate& { return self_; }
    auto subscriptions() const -> int { return subscriptions_; }

private:
    auto accept(st_h2o_socket_t* socket) -> void
    {
        links_.push_back(std::make_unique<peer_link>(
            loop_, std::make_unique<tcp_stream>(loop_, socket, stream_options{})));
        auto* link = links_.back().get();
        peer_link::handlers handlers;
        handlers.on_message = [this, link](const peer_message& message) {
            if (std::holds_alternative<peer_ping>(message)) {
                link->send(peer_pong{});
            }
            const auto* wanted = std::get_if<update_subscription>(&message);
            if (wanted == nullptr || wanted->topics.empty()) {
                return;
            }
            ++subscriptions_;
            for (const auto& it : first_updates_) {
                link->send(it);
            }
        };
        link->start(std::move(handlers));
        link->send(peer_hello{self_, boot_id{77}, true});
    }
    auto send_keepalives() -> void
    {
        for (auto& it : links_) {
            it->send(subscription_keepalive{});
        }
        timer_ = loop_.schedule(milliseconds{300}, [this] { send_keepalives(); });
    }

    event_loop& loop_;
    std::vector<topic_update> first_updates_;
    candidate self_;
    std::unique_ptr<listener> listener_;
    std::vector<std::unique_ptr<peer_link>> links_;
    int subscriptions_{0};
    event_loop::timer_id timer_{0};
};

/// A large instance that reads the store, and a small one that subscribes to it.
struct mixed_fleet : gateway_fixture {
    mixed_fleet()
    {
        settings.cpu_share = 0.5;
        start();
        // The fleet's status is sent once a second.
        run_for(milliseconds{1200});
        small_settings = make_settings("small", 0.1);
        small = start_small(small_settings, 9);
        run_until([&] { return ready_at(small_settings); });
    }

    auto make_settings(const std::string& node, double share) const -> node_settings
    {
        auto out = settings;
        out.node = instance_id{node};
        out.cpu_share = share;
        out.caller_address = {"127.0.0.1", free_port()};
        out.readiness_address = {"127.0.0.1", free_port()};
        out.peer_address = {"127.0.0.1", free_port_pair()};
        return out;
    }
    auto start_small(const node_settings& from, std::uint64_t boot) -> std::unique_ptr<gateway>
    {
        auto out = std::make_unique<gateway>(loop, from, events, boot_id{boot});
        BOOST_REQUIRE(out->start().has_value());
        return out;
    }
    auto ready_at(const node_settings& of) -> bool
    {
        std::swap(settings.readiness_address, small_settings.readiness_address);
        auto out = &of == &small_settings && ready();
        std::swap(settings.readiness_address, small_settings.readiness_address);
        return out;
    }
    auto call_small(const std::string& bytes) -> std::string
    {
        std::swap(settings.caller_address, small_settings.caller_address);
        auto out = call(bytes);
        std::swap(settings.caller_address, small_settings.caller_address);
        return out;
    }
    /// Calls to the store that the small instance made since its start.
    auto calls_of_small() -> int
    {
        raw_connection metrics{
            {"127.0.0.1", static_cast<std::uint16_t>(small_settings.peer_address.port + 1)}};
        metrics.send("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
        run_until([&] {
            metrics.receive();
            return is_whole(metrics.received);
        });
        const std::string name = "cornelswitch_store_calls_total ";
        auto at = metrics.received.find(name);
        return at == std::string::npos ? -1 : std::stoi(metrics.received.substr(at + name.size()));
    }

    node_settings small_settings;
    std::unique_ptr<gateway> small;
    int calls{0};
};

BOOST_FIXTURE_TEST_SUITE(replicator_of_a_small_instance, mixed_fleet)

// In a fleet of hundreds of instances, one call to the store per instance and second would be the
// largest cost.
BOOST_AUTO_TEST_CASE(takes_one_call_to_the_store)
{
    run_for(seconds{3});
    BOOST_TEST(calls_of_small() == 1);
}

BOOST_AUTO_TEST_CASE(follows_the_configuration_the_servers_and_the_key_owners)
{
    BOOST_TEST(status(call_small(request("/keyed/1", "r1", key_header(5)))) == "200");
    store.put("keyed.op", "config", with_route(5, "new"));
    store.put("keyed.servers", "a", plain_server_1.entry("plain", "draining", 2));
    run_for(milliseconds{900});
    plain_server_1.executed_request_ids.clear();
    for (int n = 0; n < 4; ++n) {
        BOOST_TEST(status(call_small(request("/new/1", "n" + std::to_string(n)))) == "200");
    }
    BOOST_TEST(plain_server_1.executed_request_ids.empty());
}

BOOST_AUTO_TEST_CASE(follows_an_evacuation_and_its_end)
{
    store.put("keyed.op", "evacuate/z1", "{}");
    run_for(milliseconds{400});
    BOOST_TEST(status(call_small(request("/read/1", "r1"))) == "503");
    store.put("keyed.op", "evacuate/z1", "");
    run_until([&] { return status(call_small(request("/read/1", "r2"))) == "200"; });
}

// Guards against a server that stays unknown to all instances but the reader when its entry expires
// and is written again unchanged.
BOOST_AUTO_TEST_CASE(follows_a_server_whose_entry_lapses_and_is_written_again)
{
    for (int heartbeat = 2; heartbeat < 6; ++heartbeat) {
        bool is_gone = heartbeat % 2 == 0;
        store.put("keyed.servers", "a",
                  is_gone ? "" : plain_server_1.entry("plain", "ready", heartbeat));
        store.put("keyed.servers", "b",
                  is_gone ? "" : plain_server_2.entry("plain", "ready", heartbeat));
        run_for(milliseconds{900});
    }
    BOOST_TEST(status(call_small(request("/read/1", "r1"))) == "200");
    BOOST_TEST(plain_server_1.executed_request_ids.size() +
                   plain_server_2.executed_request_ids.size() ==
               1U);
}

// During an outage of the store, retries by hundreds of instances are billed like successful calls.
BOOST_AUTO_TEST_CASE(takes_no_call_to_a_store_that_is_down_while_a_candidate_is_alive)
{
    store.is_down = true;
    run_for(seconds{5});
    BOOST_TEST(calls_of_small() == 1);
}

// Guards against an instance that keeps outdated copies for ever when all large machines are lost.
BOOST_AUTO_TEST_CASE(comes_from_the_store_itself_when_no_candidate_is_left)
{
    instance.reset();
    store.expire_membership();
    store.put("keyed.op", "config", with_route(5, "new"));
    store.put("keyed.servers", "a", plain_server_1.entry("plain", "draining", 2));
    run_for(milliseconds{2600});
    plain_server_1.executed_request_ids.clear();
    BOOST_TEST(status(call_small(request("/new/1", "r1"))) == "200");
    BOOST_TEST(plain_server_1.executed_request_ids.empty());
    // The small instance takes over the roles, so that keys have an owner again.
    run_until([&] {
        return status(call_small(
                   request("/keyed/1", "k" + std::to_string(++calls), key_header(5)))) == "200";
    });
}

// Guards against an instance that keeps outdated copies because its candidate is cut off from the
// store and from all other candidates, as can happen to the only candidate of a zone.
BOOST_AUTO_TEST_CASE(comes_from_the_store_itself_when_its_source_is_cut_off)
{
    auto lost = make_settings("lost", 0.5);
    store.put("keyed.cornelswitch-candidates", "lost",
              encode_candidate({lost.node, lost.zone, lost.peer_address, lost.cpu_share}));
    run_for(milliseconds{500});
    auto before = calls_of_small();
    store.is_down = true;
    run_for(seconds{6});
    BOOST_TEST(calls_of_small() > before);
}

// Guards against outdated copies on all subscribers of a candidate that is alive but lags, because
// it is short of processor time or its link is full.
BOOST_AUTO_TEST_CASE(comes_from_another_candidate_when_its_source_is_alive_but_lags)
{
    topic_update servers;
    servers.topic = shared_topic::servers;
    servers.is_snapshot = true;
    servers.end = log_offset{4};
    for (auto* it : {&plain_server_1, &plain_server_2}) {
        servers.records.emplace_back(it == &plain_server_1 ? "a" : "b", it->entry("plain"));
    }
    topic_update operators;
    operators.topic = shared_topic::operators;
    operators.is_snapshot = true;
    operators.end = log_offset{1};
    operators.records.emplace_back("config", configuration(1));
    lagging_candidate lagging{loop, {servers, operators}};
    store.put("keyed.cornelswitch-candidates", "stuck", encode_candidate(lagging.self()));
    run_for(milliseconds{300});
    // Which candidate an instance subscribes to depends on its id.
    std::vector<std::unique_ptr<gateway>> others;
    for (std::uint64_t n = 0; lagging.subscriptions() == 0; ++n) {
        BOOST_REQUIRE(n < 20);
        small_settings = make_settings("small-" + std::to_string(n), 0.1);
        others.push_back(start_small(small_settings, 100 + n));
        run_until([&] { return ready_at(small_settings); });
    }
    store.put("keyed.op", "config", with_route(5, "new"));
    run_for(seconds{2});
    BOOST_TEST(status(call_small(request("/new/1", "r1"))) == "200");

    BOOST_TEST_CONTEXT("and stays with the one that is up to date")
    {
        auto before = lagging.subscriptions();
        store.put("keyed.op", "config", with_route(6, "newer"));
        run_for(milliseconds{1500});
        BOOST_TEST(status(call_small(request("/newer/1", "r2"))) == "200");
        BOOST_TEST(lagging.subscriptions() == before);
    }
}

// Guards against outdated copies of subscribers when the store deletes records from the log.
BOOST_AUTO_TEST_CASE(stays_current_when_log_records_are_deleted)
{
    store.put("keyed.servers", "a", "");
    store.compact("keyed.servers");
    run_for(milliseconds{1500});
    plain_server_1.executed_request_ids.clear();
    for (int n = 0; n < 4; ++n) {
        BOOST_TEST(status(call_small(request("/read/1", "r" + std::to_string(n)))) == "200");
    }
    BOOST_TEST(plain_server_1.executed_request_ids.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
