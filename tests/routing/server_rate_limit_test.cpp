#include "routing/server_rate_limit.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;

struct rate_limit_fixture {
    static auto at(int ms) -> time_point { return time_point{} + milliseconds{ms}; }

    auto on_notice(std::optional<double> limit, int requested_ms, int answered_ms) -> void
    {
        auto rate = limit ? std::optional{request_rate{*limit}} : std::nullopt;
        tested.on_notice(rate, at(requested_ms), at(answered_ms));
    }

    auto limit() const -> double
    {
        auto status = tested.status();
        return status ? status->limit.per_second : -1.0;
    }

    server_rate_limit tested;
};

BOOST_FIXTURE_TEST_SUITE(the_rate_limit_of_a_server, rate_limit_fixture)

BOOST_AUTO_TEST_CASE(holds_until_a_later_response_names_none)
{
    BOOST_TEST(limit() == -1.0);
    on_notice(3.0, 100, 200);
    BOOST_TEST(limit() == 3.0);
    on_notice(3.0, 250, 300);
    on_notice(std::nullopt, 300, 400);
    BOOST_TEST(limit() == -1.0);
}

BOOST_AUTO_TEST_CASE(follows_each_later_response_up_and_down)
{
    on_notice(3.0, 100, 200);
    on_notice(5.0, 200, 300);
    BOOST_TEST(limit() == 5.0);
    on_notice(1.0, 300, 400);
    BOOST_TEST(limit() == 1.0);
}

BOOST_AUTO_TEST_SUITE(with_responses_that_overtake_each_other)

// Guards against the end of a limit by a response that the server made before it named the limit.
BOOST_AUTO_TEST_CASE(is_not_lifted_by_a_response_that_may_be_older)
{
    on_notice(3.0, 100, 200);
    on_notice(std::nullopt, 150, 250);
    BOOST_TEST(limit() == 3.0);
    on_notice(7.0, 150, 250);
    BOOST_TEST(limit() == 3.0);
}

BOOST_AUTO_TEST_CASE(is_lowered_by_a_response_that_may_be_older)
{
    on_notice(3.0, 100, 200);
    on_notice(2.0, 150, 190);
    BOOST_TEST(limit() == 2.0);
}

// Guards against a limit that comes back with a slow response after it has ended.
BOOST_AUTO_TEST_CASE(is_not_set_by_a_response_that_is_certainly_older)
{
    on_notice(3.0, 100, 200);
    on_notice(std::nullopt, 300, 400);
    on_notice(3.0, 120, 250);
    BOOST_TEST(limit() == -1.0);
}

// Guards against a limit that never ends, because the responses of concurrent requests name it.
BOOST_AUTO_TEST_CASE(ends_while_requests_overlap)
{
    for (int n = 0; n < 10; ++n) {
        on_notice(3.0, 100 * n, 100 * n + 250);
    }
    for (int n = 10; n < 14; ++n) {
        on_notice(std::nullopt, 100 * n, 100 * n + 250);
    }
    BOOST_TEST(limit() == -1.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
