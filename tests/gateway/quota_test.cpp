#include "tests/gateway/workspace_fixture.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using namespace test;

/// A gateway, and a second one beside it, that limit one workspace.
struct gateway_with_quotas : gateway_with_workspaces {
    static constexpr const char* limited =
        R"({"Name":"a","ApiKeys":["k1"],"RatePerS":2,"Burst":4},{"Name":"b","ApiKeys":["k2"]})";

    auto start_second() -> void
    {
        second_settings = settings;
        second_settings.node = instance_id{"i2"};
        second_settings.caller_address = {"127.0.0.1", free_port()};
        second_settings.readiness_address = {"127.0.0.1", free_port()};
        second_settings.peer_address = {"127.0.0.1", free_port_pair()};
        second = std::make_unique<gateway>(loop, second_settings, events, boot_id{8});
        BOOST_REQUIRE(second->start().has_value());
        run_for(seconds{3});
    }

    /// Sends requests of the limited workspace to an instance until one is refused. Returns the
    /// last response.
    auto use_up(endpoint at) -> std::string
    {
        std::string last;
        auto address = std::exchange(settings.caller_address, std::move(at));
        // (2 x 5 + 4) x 1.1 + 20 requests may run in 5 s.
        for (int n = 0; n < 60 && status(last.empty() ? "HTTP/1.1 200" : last) == "200"; ++n) {
            last = call(request("/read/1", "u" + std::to_string(++requests), key("k1")));
            run_for(milliseconds{5});
        }
        settings.caller_address = std::move(address);
        return last;
    }

    auto metrics() -> std::string
    {
        raw_connection probe{settings.readiness_address};
        probe.send("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
        run_until([&] {
            probe.receive();
            return is_whole(probe.received);
        });
        return probe.received;
    }

    node_settings second_settings;
    std::unique_ptr<gateway> second;
};

BOOST_FIXTURE_TEST_SUITE(a_gateway_with_quotas, gateway_with_quotas)

// Guards against a workspace that takes the servers from the others.
BOOST_AUTO_TEST_CASE(refuses_requests_over_the_quota_until_it_has_room)
{
    start_with(limited);
    run_for(milliseconds{500});
    auto refused = use_up(settings.caller_address);
    BOOST_TEST(status(refused) == "429");
    BOOST_TEST(refused.find("over-quota") != std::string::npos);
    auto position = refused.find("Retry-After: ");
    BOOST_REQUIRE(position != std::string::npos);
    auto wait = std::stod(refused.substr(position + 13));
    BOOST_TEST(wait > 0);
    BOOST_TEST(wait <= 5.0);
    BOOST_TEST_CONTEXT("another workspace is not affected")
    {
        for (int n = 0; n < 20; ++n) {
            BOOST_TEST(status_with("/read/1", key("k2")) == "200");
        }
    }
    BOOST_TEST_CONTEXT("operators see the workspace and the cause")
    {
        auto text = metrics();
        BOOST_TEST(text.find("cornelswitch_workspace_requests_total{workspace=\"a\"} ") !=
                   std::string::npos);
        BOOST_TEST(text.find("cornelswitch_workspace_refusals_total{workspace=\"a\",cause=\"over-"
                             "quota\"} 1\n") != std::string::npos);
        BOOST_TEST(text.find("workspace=\"b\"") == std::string::npos);
    }
    BOOST_TEST_CONTEXT("the quota has room again")
    {
        run_for(seconds{2});
        BOOST_TEST(status_with("/read/1", key("k1")) == "200");
    }
    BOOST_TEST_CONTEXT("the quota ends with the configuration")
    {
        publish(3, R"({"Name":"a","ApiKeys":["k1"]},{"Name":"b","ApiKeys":["k2"]})");
        run_for(seconds{1});
        for (int n = 0; n < 40; ++n) {
            BOOST_TEST(status_with("/read/1", key("k1")) == "200");
        }
        BOOST_TEST(metrics().find("cornelswitch_workspace_") == std::string::npos);
    }
}

// Guards against requests without a server that use up the quota of a workspace.
BOOST_AUTO_TEST_CASE(does_not_count_requests_that_were_not_sent)
{
    start_with(limited);
    run_for(milliseconds{500});
    store.put("keyed.servers", "a", plain_server_1.entry("plain", "draining", 2));
    store.put("keyed.servers", "b", plain_server_2.entry("plain", "draining", 2));
    run_until([&] { return status_with("/read/1", key("k2")) == "503"; });
    // Twice the quota's rate, for longer than its burst and rate would last.
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST(status_with("/read/1", key("k1")) == "503");
        run_for(milliseconds{250});
    }
}

// Guards against a quota that each instance uses for itself.
BOOST_AUTO_TEST_CASE(shares_the_quota_with_other_instances)
{
    start_with(limited);
    start_second();
    plain_server_1.executed_request_ids.clear();
    plain_server_2.executed_request_ids.clear();
    BOOST_TEST(status(use_up(settings.caller_address)) == "429");
    BOOST_TEST(status(use_up(second_settings.caller_address)) == "429");
    BOOST_TEST(status(use_up(settings.caller_address)) == "429");
    BOOST_TEST(plain_server_1.executed_request_ids.size() +
                   plain_server_2.executed_request_ids.size() <=
               (2 * 5 + 4) * 1.1 + 20);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
