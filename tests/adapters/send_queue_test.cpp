#include "adapters/h2o/send_queue.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

BOOST_AUTO_TEST_SUITE(a_send_queue)

BOOST_AUTO_TEST_CASE(does_not_wait_when_it_is_empty)
{
    send_queue it;
    it.is_window_zero = true;
    BOOST_TEST(it.is_empty());
    BOOST_TEST(!it.waits_for_reader());
}

// Guards against a slow detection of peers that are gone: the segments on their way show nothing.
BOOST_AUTO_TEST_CASE(does_not_wait_for_a_reader_while_segments_are_on_their_way)
{
    BOOST_TEST(!(send_queue{.unacknowledged_segments = 1, .unsent_bytes = 0}).waits_for_reader());
    BOOST_TEST(!(send_queue{.unacknowledged_segments = 9, .unsent_bytes = 99}).waits_for_reader());
}

BOOST_AUTO_TEST_CASE(waits_for_a_reader_whose_window_is_closed)
{
    BOOST_TEST((send_queue{.unacknowledged_segments = 0, .unsent_bytes = 1}).waits_for_reader());
    // A receiver that is short of memory closes its window and drops segments on their way.
    BOOST_TEST((send_queue{.unacknowledged_segments = 1, .unsent_bytes = 0, .is_window_zero = true})
                   .waits_for_reader());
}

// Guards against a peer that closed its window and is gone, and holds memory until a deadline.
BOOST_AUTO_TEST_CASE(does_not_wait_for_a_peer_that_answers_no_probes)
{
    send_queue it{.unacknowledged_segments = 0, .unsent_bytes = 1, .unanswered_probes = 1};
    BOOST_TEST(it.waits_for_reader());
    it.unanswered_probes = 2;
    BOOST_TEST(!it.waits_for_reader());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
