#include "core/manual_clock.h"
#include "fleet/progress_watch.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr progress_watch::topic_number servers = 0;
constexpr progress_watch::topic_number operators = 1;

struct watched_copies {
    auto report(const std::string& node, progress_watch::topic_number topic, std::uint64_t end,
                std::uint64_t own_end) -> void
    {
        it.on_report(instance_id{node}, topic, log_offset{end}, log_offset{own_end}, time.now());
    }
    auto better() const -> std::string
    {
        auto found = it.find_better(time.now());
        return found ? found->value() : "";
    }

    manual_clock time;
    progress_watch it;
};

BOOST_FIXTURE_TEST_SUITE(a_progress_watch, watched_copies)

// The pattern is a fleet under load in which the instance that passes news on falls behind without
// falling silent.
BOOST_AUTO_TEST_CASE(names_an_instance_that_has_had_more_for_too_long)
{
    time.advance(seconds{100});
    report("x", operators, 7, 7);
    BOOST_TEST(better().empty());
    report("x", operators, 8, 7);
    BOOST_TEST(better().empty());

    BOOST_TEST_CONTEXT("a later report does not start the time anew")
    {
        time.advance(progress_watch::grace / 2);
        report("y", operators, 9, 7);
        time.advance(progress_watch::grace / 2);
        BOOST_TEST(better() == "x");
    }
}

BOOST_AUTO_TEST_CASE(forgets_what_has_come_meanwhile)
{
    time.advance(seconds{100});
    report("x", servers, 8, 7);
    time.advance(milliseconds{100});
    it.on_progress(servers, log_offset{8});
    time.advance(seconds{1});
    BOOST_TEST(better().empty());
}

// Guards against a fleet whose instances turn from one candidate to the next all the time, because
// their own links are what is slow.
BOOST_AUTO_TEST_CASE(waits_longer_each_time_that_a_change_has_not_helped)
{
    time.advance(seconds{100});
    std::size_t changes = 0;
    for (std::uint64_t n = 0; n < 300; ++n) {
        report("x", servers, n + 1, 0);
        changes += better().empty() ? 0 : 1;
        if (!better().empty()) {
            it.on_change(time.now());
        }
        time.advance(milliseconds{100});
    }
    // 30 s, with pauses of 0.7, 1.4, 2.8, 5.6, 6, 6 and 6 s.
    BOOST_TEST(changes >= 5U);
    BOOST_TEST(changes <= 8U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
