#include "core/random.h"
#include "tests/gateway/gateway_fixture.h"

#include <algorithm>
#include <map>
#include <set>

namespace cornelswitch {
namespace {

using namespace test;

/// Callers that pipeline requests and disconnect at random, and servers that fail in random ways,
/// determined by a seed.
struct stress_fixture : gateway_fixture {
    explicit stress_fixture(std::uint64_t seed) : random{seed}
    {
        auto handler = [this](fake_backend& self, received_request& request) {
            respond_randomly(self, request);
        };
        for (auto* server : {&plain_server_1, &plain_server_2, &k1, &k2}) {
            server->handle_request = handler;
        }
    }

    auto respond_randomly(fake_backend& self, const received_request& request) -> void
    {
        auto response = self.valid_response(request, std::string(uniform_below(random, 3000), 'x'));
        auto delay = milliseconds{uniform_below(random, 30)};
        auto behaviour = uniform_below(random, 20);
        if (behaviour == 4) {
            // Rejected, so the request does not run.
            self.executed_request_ids.pop_back();
        }
        loop.schedule(delay, [request, response, behaviour] {
            switch (behaviour) {
            case 0:
                request.reset();
                return;
            case 1:
                request.send(response.substr(0, response.size() / 2));
                request.reset();
                return;
            case 2:
                request.send(response + response);
                return;
            case 3:
                request.send("no response at all\r\n\r\n");
                return;
            case 4:
                request.send(fake_http_server::response(503, "x-not-executed: 1\r\n", ""));
                return;
            case 5:
                // Never answered.
                return;
            default:
                request.send(response);
            }
        });
    }

    auto send_random_requests() -> void
    {
        auto connection = connect();
        auto request_count = 1 + uniform_below(random, 4);
        std::string bytes;
        for (std::uint64_t index = 0; index < request_count; ++index) {
            auto id = "r" + std::to_string(++last_id);
            auto kind = uniform_below(random, 3);
            if (kind == 0) {
                bytes += request("/write/1", id);
                writes.insert(id);
            } else if (kind == 1) {
                bytes += request("/read/1", id);
            } else {
                auto key = static_cast<std::uint32_t>(uniform_below(random, 65'536));
                bytes += request("/keyed/1", id, key_header(key));
            }
        }
        connection->send(bytes);
        connections.push_back(std::move(connection));
    }

    random_engine random;
    std::uint64_t last_id{0};
    std::set<std::string> writes;
    std::vector<std::unique_ptr<raw_connection>> connections;
};

BOOST_AUTO_TEST_SUITE(a_gateway_under_stress)

// Guards against use of state after the caller, server or store connection that it belonged to has
// ended. CI runs this test with AddressSanitizer.
BOOST_AUTO_TEST_CASE(runs_writes_at_most_once_while_servers_callers_and_the_store_fail)
{
    for (std::uint64_t seed : {1U, 2U}) {
        stress_fixture fixture{seed};
        fixture.start();
        for (int round = 0; round < 150; ++round) {
            for (int n = 0; n < 3; ++n) {
                fixture.send_random_requests();
            }
            fixture.run_for(milliseconds{4});
            for (auto& connection : fixture.connections) {
                connection->receive();
                if (uniform_below(fixture.random, 12) == 0) {
                    connection.reset();
                }
            }
            std::erase(fixture.connections, nullptr);
            if (round == 50) {
                fixture.store.is_down = true;
            }
            if (round == 90) {
                fixture.store.is_down = false;
                fixture.store.put("keyed.servers", "k1", fixture.k1.entry("index", "draining", 2));
            }
            if (round == 120) {
                fixture.store.put("keyed.servers", "a", "");
            }
        }
        std::map<std::string, int> runs;
        for (const auto* server : {&fixture.plain_server_1, &fixture.plain_server_2}) {
            for (const auto& id : server->executed_request_ids) {
                ++runs[id];
            }
        }
        for (const auto& id : fixture.writes) {
            BOOST_TEST(runs[id] <= 1);
        }
        fixture.instance->shut_down();
        fixture.connections.clear();
        fixture.run_until([&] { return fixture.instance->is_finished(); });
        fixture.instance.reset();
        fixture.run_for(milliseconds{20});
    }
}

// Guards against use of state of another instance (its link, admissions or role) after that
// instance has ended.
BOOST_AUTO_TEST_CASE(runs_writes_at_most_once_while_instances_start_and_end)
{
    stress_fixture fixture{3};
    fixture.start();
    auto second_settings = fixture.settings;
    second_settings.node = instance_id{"i2"};
    second_settings.caller_address = {"127.0.0.1", free_port()};
    second_settings.readiness_address = {"127.0.0.1", free_port()};
    second_settings.peer_address = {"127.0.0.1", free_port_pair()};
    std::uint64_t boot = 100;
    auto start_second = [&] {
        auto out = std::make_unique<gateway>(fixture.loop, second_settings, fixture.events,
                                             boot_id{++boot});
        BOOST_REQUIRE(out->start().has_value());
        return out;
    };
    auto second = start_second();
    for (int round = 0; round < 240; ++round) {
        fixture.send_random_requests();
        if (second) {
            // Callers use both instances.
            std::swap(fixture.settings.caller_address, second_settings.caller_address);
            fixture.send_random_requests();
            std::swap(fixture.settings.caller_address, second_settings.caller_address);
        }
        fixture.run_for(milliseconds{8});
        for (auto& connection : fixture.connections) {
            connection->receive();
            if (uniform_below(fixture.random, 10) == 0) {
                connection.reset();
            }
        }
        std::erase_if(fixture.connections,
                      [](const auto& connection) { return connection == nullptr; });
        if (round % 60 == 20) {
            fixture.store.expire_membership();
        }
        if (round % 60 == 40 && second) {
            // The second instance ends abruptly with requests in progress.
            second.reset();
        }
        if (round % 60 == 59 && !second) {
            second = start_second();
        }
    }
    std::map<std::string, int> runs;
    for (const auto* server : {&fixture.plain_server_1, &fixture.plain_server_2}) {
        for (const auto& id : server->executed_request_ids) {
            ++runs[id];
        }
    }
    for (const auto& id : fixture.writes) {
        BOOST_TEST(runs[id] <= 1);
    }
    second.reset();
    fixture.instance.reset();
    fixture.connections.clear();
    fixture.run_for(milliseconds{20});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
