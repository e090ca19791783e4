#include "adapters/h2o/delivery_progress.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;

/// A connection whose send queue is read every 250 ms.
struct delivery_fixture {
    /// Returns whether the peer counts as gone at the end of `span`.
    auto lasts(const send_queue& state, milliseconds span) -> bool
    {
        bool is_gone = false;
        for (milliseconds at{0}; at < span && !is_gone; at += interval) {
            is_gone = it.on_state(state);
        }
        return is_gone;
    }

    static constexpr milliseconds interval{250};
    send_queue in_flight{.unacknowledged_segments = 1, .acknowledged_bytes = 100};
    send_queue closed_window{.unsent_bytes = 9000, .acknowledged_bytes = 500};
    send_queue empty{.acknowledged_bytes = 9500};
    delivery_progress it{
        {.unacknowledged = milliseconds{1000}, .closed_window = milliseconds{5000}},
        interval,
        send_queue{.acknowledged_bytes = 100}};
};

BOOST_FIXTURE_TEST_SUITE(delivery_to_a_peer, delivery_fixture)

// Guards against a peer that is gone and holds its connection.
BOOST_AUTO_TEST_CASE(fails_after_the_timeout_without_an_acknowledgement)
{
    BOOST_TEST(!lasts(in_flight, milliseconds{750}));
    BOOST_TEST(lasts(in_flight, interval));
}

// Guards against a connection that ends although its peer reads, only not all at once.
BOOST_AUTO_TEST_CASE(goes_on_while_bytes_are_acknowledged)
{
    for (int n = 0; n < 100; ++n) {
        closed_window.acknowledged_bytes += 10;
        BOOST_TEST(!it.on_state(closed_window));
    }
}

BOOST_AUTO_TEST_SUITE(whose_window_is_closed)

// Guards against the loss of a response to a caller that pauses for less than it may.
BOOST_AUTO_TEST_CASE(goes_on_for_the_longer_timeout)
{
    BOOST_TEST(!lasts(closed_window, milliseconds{5000}));
    BOOST_TEST(lasts(closed_window, interval));
}

// Guards against pauses that add up, with and without an empty queue between them.
BOOST_AUTO_TEST_CASE(starts_anew_with_each_pause)
{
    for (int n = 0; n < 3; ++n) {
        BOOST_TEST(!lasts(closed_window, milliseconds{4500}));
        closed_window.acknowledged_bytes += 1000;
        BOOST_TEST(!lasts(closed_window, milliseconds{4500}));
        BOOST_TEST(!it.on_state(empty));
    }
}

// Guards against a pause that counts as silence of the segments that follow it.
BOOST_AUTO_TEST_CASE(gives_the_next_segments_their_whole_timeout)
{
    BOOST_TEST(!lasts(closed_window, milliseconds{4500}));
    in_flight.acknowledged_bytes = closed_window.acknowledged_bytes;
    BOOST_TEST(!lasts(in_flight, milliseconds{1000}));
    BOOST_TEST(lasts(in_flight, interval));
}

// Guards against a peer that closed its window and is gone.
BOOST_AUTO_TEST_CASE(fails_after_the_shorter_timeout_without_answers_to_probes)
{
    BOOST_TEST(!lasts(closed_window, milliseconds{500}));
    closed_window.unanswered_probes = 2;
    BOOST_TEST(!lasts(closed_window, milliseconds{1000}));
    BOOST_TEST(lasts(closed_window, interval));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
