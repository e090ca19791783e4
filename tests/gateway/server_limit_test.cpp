#include "tests/gateway/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace cornelswitch {
namespace {

using namespace test;

/// A gateway whose servers name a request rate limit, and callers that send more than that.
struct limited_servers_fixture : gateway_fixture {
    /// The servers take two requests a second. Time after which that is binding, and the bound that
    /// applies from then on. Source: the platform's rule.
    static constexpr duration stable_window = seconds{3};
    static constexpr duration window = seconds{4};
    static constexpr std::size_t allowed_in_window = 17;
    /// Three quarters of what the limit allows.
    static constexpr std::size_t wanted_in_window = 6;

    auto name_limits(const std::string& value) -> void
    {
        for (auto* backend : {&plain_server_1, &plain_server_2, &k1, &k2}) {
            backend->handle_request = [this, value](fake_backend& self, received_request& request) {
                arrivals[self.id()].push_back(loop.now());
                auto response = self.valid_response(request);
                request.send(
                    response.insert(response.find("\r\n") + 2, "Server-Limit: " + value + "\r\n"));
            };
        }
    }

    /// Sends a request to each service every 40 ms, with keys of both keyed servers.
    auto send_for(duration span) -> void
    {
        auto end = loop.now() + span;
        while (loop.now() < end) {
            auto id = std::to_string(++last_id);
            auto key = static_cast<std::uint32_t>(last_id * 20'011 % 65'536);
            for (const auto& bytes :
                 {request("/read/1", "p" + id), request("/keyed/1", "k" + id, key_header(key))}) {
                callers.push_back(connect());
                callers.back()->send(bytes);
            }
            run_for(milliseconds{40});
        }
    }

    /// Most arrivals at a server within a window that begins after the limit became binding.
    auto most_in_window(const std::string& server) -> std::size_t
    {
        const auto& all = arrivals[server];
        std::size_t out = 0;
        for (auto first = all.begin(); first != all.end(); ++first) {
            if (*first < all.front() + stable_window) {
                continue;
            }
            auto end = std::find_if(first, all.end(),
                                    [&](const auto& it) { return it >= *first + window; });
            out = std::max(out, static_cast<std::size_t>(end - first));
        }
        return out;
    }

    std::map<std::string, std::vector<time_point>> arrivals;
    std::vector<std::unique_ptr<raw_connection>> callers;
    std::uint64_t last_id{0};
};

BOOST_FIXTURE_TEST_SUITE(a_gateway_with_limited_servers, limited_servers_fixture)

// Guards against servers that get more requests than the rate that they name in their responses.
BOOST_AUTO_TEST_CASE(sends_no_more_requests_than_the_servers_limits_allow)
{
    name_limits("2");
    start();
    send_for(stable_window + window + milliseconds{500});
    for (const auto* server : {"a", "b", "k1", "k2"}) {
        BOOST_TEST_CONTEXT("server " << server)
        {
            BOOST_TEST(most_in_window(server) <= allowed_in_window);
            // Each server still gets most of what it takes.
            BOOST_TEST(most_in_window(server) >= wanted_in_window);
        }
    }
}

// Guards against a new coordinator that knows no limits, although other instances know them.
BOOST_AUTO_TEST_CASE(keeps_to_limits_that_another_instance_reports)
{
    start();
    raw_connection peer{settings.peer_address};
    std::string bytes;
    candidate sender{instance_id{"i2"}, zone_id{"z1"}, {"127.0.0.1", 1}, 0.1};
    encode_peer_message(bytes, peer_hello{sender, boot_id{8}, false});
    server_rate_limit_report report{server_id{"k1"}, 1'700'000'000'000, {1.0}, {}, {}};
    encode_peer_message(bytes, rate_limit_message{service_id{"index"}, report});
    peer.send(bytes);
    run_for(milliseconds{200});
    callers.push_back(connect());
    callers.back()->send(request("/keyed/1", "k1", key_header(5)));
    for (int n = 0; n < 4; ++n) {
        auto id = "more" + std::to_string(n);
        callers.push_back(connect());
        callers.back()->send(request("/keyed/1", id, key_header(5)));
    }
    run_for(milliseconds{300});
    BOOST_TEST(k1.executed_request_ids.size() <= 1U);
}

// Guards against refusals that do not say when the limit has room again.
BOOST_AUTO_TEST_CASE(refuses_what_the_limits_leave_no_time_for_with_a_time_to_return)
{
    name_limits("0.5");
    start();
    call(request("/keyed/1", "k0", key_header(5)));
    std::size_t refused = 0;
    for (int n = 1; n <= 6; ++n) {
        auto started = loop.now();
        auto response = call(request("/keyed/1", "k" + std::to_string(n), key_header(5)));
        if (status(response) == "503") {
            ++refused;
            BOOST_TEST((loop.now() - started < milliseconds{300}));
            BOOST_TEST(response.find("rate-limit") != std::string::npos);
            BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
        }
    }
    BOOST_TEST(refused >= 4U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
