#include "gateway/eviction_order.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::seconds;
using enum connection_state;

const time_point now{seconds{1000}};
constexpr duration stall_time = seconds{1};

auto candidate(connection_state state, int age_s, std::uint64_t bytes = 0) -> eviction_candidate
{
    return {state, now - seconds{age_s}, bytes};
}

BOOST_AUTO_TEST_SUITE(an_eviction_order)

// Guards against callers with a request that lose their connection to idle ones.
BOOST_AUTO_TEST_CASE(closes_idle_connections_before_others)
{
    BOOST_TEST(*choose_connection_to_close({candidate(receiving_body, 9), candidate(idle, 1),
                                            candidate(idle, 2), candidate(receiving_head, 8)},
                                           now, stall_time) == 2U);
    BOOST_TEST(*choose_connection_to_close(
                   {candidate(receiving_body, 9), candidate(receiving_head, 0), candidate(busy, 9)},
                   now, stall_time) == 1U);
}

// Guards against bodies that never end and take all descriptors.
BOOST_AUTO_TEST_CASE(closes_bodies_without_progress_but_no_request_in_progress)
{
    BOOST_TEST(*choose_connection_to_close({candidate(busy, 9), candidate(receiving_body, 0),
                                            candidate(receiving_body, 3), candidate(sending, 9)},
                                           now, stall_time) == 2U);
    auto pipelined = candidate(receiving_body, 3);
    pipelined.has_earlier_requests = true;
    BOOST_TEST(!choose_connection_to_close(
        {candidate(busy, 9), candidate(receiving_body, 0), pipelined}, now, stall_time));
}

// Guards against the loss of bodies that arrive steadily, and of requests in progress.
BOOST_AUTO_TEST_CASE(frees_what_is_longest_without_progress_and_then_what_holds_the_most)
{
    BOOST_TEST(*choose_memory_to_free({candidate(receiving_body, 2, 50),
                                       candidate(receiving_body, 3, 10), candidate(sending, 3, 20),
                                       candidate(busy, 9, 90), candidate(idle, 9)},
                                      now, stall_time) == 2U);
    BOOST_TEST(!choose_memory_to_free({candidate(receiving_body, 0, 50), candidate(busy, 9, 90)},
                                      now, stall_time));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
