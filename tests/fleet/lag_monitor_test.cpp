#include "core/manual_clock.h"
#include "fleet/lag_monitor.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr lag_monitor::topic_index servers = 0;
constexpr lag_monitor::topic_index operators = 1;

struct lag_monitor_fixture {
    auto report(const std::string& instance, lag_monitor::topic_index topic, std::uint64_t end,
                std::uint64_t own_end) -> void
    {
        monitor.on_peer_report(instance_id{instance}, topic, log_offset{end}, log_offset{own_end},
                               time.now());
    }
    auto source_ahead() const -> std::string
    {
        auto found = monitor.find_source_ahead(time.now());
        return found ? found->value() : "";
    }

    manual_clock time;
    lag_monitor monitor;
};

BOOST_FIXTURE_TEST_SUITE(a_lag_monitor, lag_monitor_fixture)

// Under load, the instance that forwards updates may lag behind although it still responds.
BOOST_AUTO_TEST_CASE(names_an_instance_that_has_been_ahead_for_too_long)
{
    time.advance(seconds{100});
    report("x", operators, 7, 7);
    BOOST_TEST(source_ahead().empty());
    report("x", operators, 8, 7);
    BOOST_TEST(source_ahead().empty());

    BOOST_TEST_CONTEXT("and a later report does not start the time again")
    {
        time.advance(lag_monitor::allowed_lag / 2);
        report("y", operators, 9, 7);
        time.advance(lag_monitor::allowed_lag / 2);
        BOOST_TEST(source_ahead() == "x");
    }
}

BOOST_AUTO_TEST_CASE(forgets_a_lag_once_the_record_has_arrived)
{
    time.advance(seconds{100});
    report("x", servers, 8, 7);
    time.advance(milliseconds{100});
    monitor.on_own_progress(servers, log_offset{8});
    time.advance(seconds{1});
    BOOST_TEST(source_ahead().empty());
}

// Guards against instances that change their source over and over although their own slow
// connection causes the lag.
BOOST_AUTO_TEST_CASE(waits_longer_after_each_change_of_source_that_has_not_helped)
{
    time.advance(seconds{100});
    std::size_t changes = 0;
    for (std::uint64_t step = 0; step < 300; ++step) {
        report("x", servers, step + 1, 0);
        changes += source_ahead().empty() ? 0 : 1;
        if (!source_ahead().empty()) {
            monitor.on_source_change(time.now());
        }
        time.advance(milliseconds{100});
    }
    // 30 s, with backoffs of 0.7, 1.4, 2.8, 5.6, 6, 6 and 6 s.
    BOOST_TEST(changes >= 5U);
    BOOST_TEST(changes <= 8U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
