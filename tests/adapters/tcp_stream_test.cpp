#include "adapters/h2o/tcp_stream.h"

#include "tests/adapters/loop_fixture.h"
#include "tests/adapters/raw_connection.h"

#include <algorithm>
#include <optional>

namespace cornelswitch {
namespace {

using namespace test;

struct stream_fixture : loop_fixture {
    stream_fixture()
    {
        tcp_stream::connect(loop, listener.address(), {}, std::chrono::seconds{1},
                            [this](std::unique_ptr<tcp_stream> made) { it = std::move(made); });
        run_until([&] { return it != nullptr; });
        peer = listener.accept();
    }

    raw_listener listener;
    std::unique_ptr<tcp_stream> it;
    std::unique_ptr<raw_connection> peer;
};

BOOST_FIXTURE_TEST_SUITE(a_tcp_stream, stream_fixture)

// Guards against received bytes that are freed while a parser still reads them: a handler that
// rejects the head of a large response closes the stream at once.
BOOST_AUTO_TEST_CASE(keeps_received_bytes_until_the_handler_that_closes_it_returns)
{
    // Larger than the allocator's limit above which freed memory is unmapped.
    const std::string sent(300'000, 'x');
    std::size_t most = 0;
    std::size_t intact = 0;
    tcp_stream::handlers receivers;
    receivers.on_data = [&](std::string_view bytes) {
        if (bytes.size() < sent.size() / 2) {
            return;
        }
        it->abort();
        most = bytes.size();
        intact = static_cast<std::size_t>(std::ranges::count(bytes, 'x'));
    };
    peer->send(sent);
    it->start(std::move(receivers));
    run_until([&] { return most > 0; });
    BOOST_TEST(intact == most);
}

BOOST_AUTO_TEST_SUITE_END()

/// A stream that records what it receives and how it ends.
struct recording_stream_fixture : stream_fixture {
    recording_stream_fixture()
    {
        tcp_stream::handlers receivers;
        receivers.on_data = [this](std::string_view bytes) { received.append(bytes); };
        receivers.on_end = [this](stream_end reason) { end = reason; };
        it->start(std::move(receivers));
    }

    /// Writes more than the kernel takes, so that the write stays active.
    auto start_long_write() -> void
    {
        it->write(std::string(std::size_t{16} << 20U, 'x'));
        BOOST_REQUIRE(it->unsent_bytes() > 0U);
    }

    std::string received;
    std::optional<stream_end> end;
};

BOOST_AUTO_TEST_SUITE(a_tcp_stream)

BOOST_FIXTURE_TEST_SUITE(whose_peer_does_not_read_all, recording_stream_fixture)

// The kernel reports a reset to one call only. These cases guard against a stream whose write gets
// the report, and which takes the following end of input for an orderly one: the receiver would
// accept a truncated message that ends with its connection.
BOOST_AUTO_TEST_CASE(fails_when_a_reset_interrupts_a_write_in_progress)
{
    start_long_write();
    peer->send("part");
    run_until([&] { return received == "part"; });
    peer->reset();
    run_until([&] { return end.has_value(); });
    BOOST_CHECK(*end == stream_end::failed);
}

BOOST_AUTO_TEST_CASE(fails_when_a_write_follows_a_reset)
{
    peer->send("part");
    peer->reset();
    it->write("x");
    run_until([&] { return end.has_value(); });
    BOOST_CHECK(*end == stream_end::failed);
    BOOST_TEST(received == "part");
}

// Guards against a complete message that is rejected because its sender did not read the whole
// request.
BOOST_AUTO_TEST_CASE(ends_in_order_when_the_peer_finishes_before_the_write_does)
{
    start_long_write();
    peer->send("whole");
    peer->finish_sending();
    run_until([&] { return end.has_value(); });
    BOOST_CHECK(*end == stream_end::closed);
    BOOST_TEST(received == "whole");
}

BOOST_AUTO_TEST_CASE(ends_in_order_when_the_peer_finishes_and_then_resets)
{
    start_long_write();
    peer->send("whole");
    peer->finish_sending();
    peer->reset();
    run_until([&] { return end.has_value(); });
    BOOST_CHECK(*end == stream_end::closed);
    BOOST_TEST(received == "whole");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

/// A stream with a time-out for unacknowledged bytes, and a peer that reads as the test tells.
struct timed_stream_fixture : loop_fixture {
    auto connect(const stream_options& options, int peer_receive_buffer = 0) -> void
    {
        raw_listener listener{peer_receive_buffer};
        tcp_stream::connect(loop, listener.address(), options, std::chrono::seconds{1},
                            [this](std::unique_ptr<tcp_stream> made) { it = std::move(made); });
        run_until([&] { return it != nullptr; });
        peer = listener.accept();
        tcp_stream::handlers receivers;
        receivers.on_end = [this](stream_end reason) { end = reason; };
        it->start(std::move(receivers));
    }

    std::unique_ptr<tcp_stream> it;
    std::unique_ptr<raw_connection> peer;
    std::optional<stream_end> end;
};

struct closed_window_fixture : timed_stream_fixture {
    auto connect_and_write(std::chrono::milliseconds closed_window_timeout) -> void
    {
        connect({.unacknowledged_timeout = std::chrono::milliseconds{200},
                 .closed_window_timeout = closed_window_timeout});
        it->write(std::string(size, 'x'));
    }

    static constexpr std::size_t size = std::size_t{16} << 20U;
};

BOOST_AUTO_TEST_SUITE(a_tcp_stream)

BOOST_FIXTURE_TEST_SUITE(whose_peer_closes_its_window, closed_window_fixture)

// Guards against a peer that loses bytes because it pauses for longer than a peer that is gone may
// stay silent.
BOOST_AUTO_TEST_CASE(delivers_all_when_the_peer_reads_again)
{
    connect_and_write(std::chrono::seconds{20});
    run_for(std::chrono::milliseconds{1500});
    BOOST_TEST(!end.has_value());
    run_until([&] { return !peer->receive() || peer->received.size() == size; });
    BOOST_TEST(peer->received.size() == size);
}

// Guards against a peer that holds the unsent bytes for as long as it likes.
BOOST_AUTO_TEST_CASE(fails_when_the_peer_never_reads_again)
{
    connect_and_write(std::chrono::milliseconds{600});
    run_until([&] { return end.has_value(); });
    BOOST_CHECK(*end == stream_end::failed);
}

BOOST_AUTO_TEST_SUITE_END()

/// Messages that the kernel takes at once, to a peer that pauses in the middle of some of them.
struct repeated_pause_fixture : timed_stream_fixture {
    /// Longer than the kernel waits before it probes a closed window.
    static constexpr std::chrono::milliseconds pause{400};
    static constexpr std::chrono::milliseconds unacknowledged_timeout{1000};
    static constexpr std::size_t message_size = 30'000;

    auto connect_to_slow_peer(std::chrono::milliseconds closed_window_timeout) -> void
    {
        connect({.unacknowledged_timeout = unacknowledged_timeout,
                 .closed_window_timeout = closed_window_timeout},
                4 * 1024);
    }

    /// Returns whether the whole message arrives after a pause in it.
    auto delivers_message() -> bool
    {
        peer->received.clear();
        it->write(std::string(message_size, 'x'));
        run_for(pause);
        run_until([&] { return !peer->receive() || peer->received.size() == message_size; });
        return peer->received.size() == message_size;
    }

    /// Sends a message with a pause, and another one when the first pause began longer ago than the
    /// time-out.
    auto delivers_two_messages() -> bool
    {
        bool has_first = delivers_message();
        run_for(unacknowledged_timeout);
        return has_first && delivers_message();
    }
};

// These cases guard against a peer whose pauses are counted together: each is shorter than the
// time-out, but the second begins after the first one has become older than it. With
// TCP_USER_TIMEOUT the kernel drops the connection at its first probe in the second pause.
BOOST_FIXTURE_TEST_SUITE(whose_peer_pauses_repeatedly, repeated_pause_fixture)

BOOST_AUTO_TEST_CASE(delivers_each_message_to_a_caller_or_a_server)
{
    connect_to_slow_peer(std::chrono::seconds{15});
    BOOST_TEST(delivers_two_messages());
    BOOST_TEST(!end.has_value());
}

BOOST_AUTO_TEST_CASE(delivers_each_message_to_an_instance_or_the_store)
{
    connect_to_slow_peer(std::chrono::milliseconds{0});
    BOOST_TEST(delivers_two_messages());
    BOOST_TEST(!end.has_value());
}

// The kernel delivers the rest, with a time-out that must not start at the first pause.
BOOST_AUTO_TEST_CASE(delivers_the_last_message_after_it_was_closed)
{
    connect_to_slow_peer(unacknowledged_timeout);
    BOOST_REQUIRE(delivers_message());
    run_for(unacknowledged_timeout);
    peer->received.clear();
    it->write(std::string(message_size, 'x'));
    run_until([&] { return it->unsent_bytes() == 0; });
    it->close();
    run_for(pause);
    run_until([&] { return !peer->receive(); });
    BOOST_TEST(peer->received.size() == message_size);
}

BOOST_AUTO_TEST_SUITE_END()

// These cases guard against a peer that is gone and holds its connection for good.
BOOST_FIXTURE_TEST_SUITE(whose_peer_falls_silent, timed_stream_fixture)

BOOST_AUTO_TEST_CASE(fails_while_sent_bytes_are_unacknowledged)
{
    connect({.unacknowledged_timeout = std::chrono::milliseconds{600},
             .closed_window_timeout = std::chrono::seconds{60}});
    peer->fall_silent();
    it->write("x");
    run_until([&] { return end.has_value(); });
    BOOST_CHECK(*end == stream_end::failed);
}

BOOST_AUTO_TEST_CASE(fails_while_its_window_is_closed)
{
    connect({.unacknowledged_timeout = std::chrono::milliseconds{600},
             .closed_window_timeout = std::chrono::seconds{60}});
    it->write(std::string(std::size_t{16} << 20U, 'x'));
    run_for(std::chrono::milliseconds{500});
    peer->fall_silent();
    run_until([&] { return end.has_value(); });
    BOOST_CHECK(*end == stream_end::failed);
}

// The stream waits for bytes of the peer and has sent all of its own.
BOOST_AUTO_TEST_CASE(fails_while_nothing_is_left_to_send)
{
    connect({.unacknowledged_timeout = std::chrono::milliseconds{600},
             .keepalive_idle = std::chrono::seconds{1}});
    peer->fall_silent();
    run_until([&] { return end.has_value(); });
    BOOST_CHECK(*end == stream_end::failed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
