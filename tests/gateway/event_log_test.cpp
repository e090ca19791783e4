#include "core/manual_clock.h"
#include "gateway/event_log.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <string>

namespace cornelswitch {
namespace {

/// A log that writes into a pipe, and the pipe's reader.
struct piped_log {
    piped_log()
    {
        BOOST_REQUIRE(pipe2(ends.data(), O_NONBLOCK) == 0);
        log.emplace(time, ends[1], "i1", "z1");
    }
    ~piped_log()
    {
        log.reset();
        close(ends[0]);
        close(ends[1]);
    }

    /// Everything that was written, taken from the pipe in turns with the flushes.
    auto read_all() -> std::string
    {
        std::string out;
        std::array<char, 65536> buf{};
        ssize_t n = 1;
        while (n > 0) {
            log->flush();
            n = ::read(ends[0], buf.data(), buf.size());
            out.append(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
        }
        return out;
    }

    manual_clock time;
    std::array<int, 2> ends{-1, -1};
    std::optional<event_log> log;
};

BOOST_FIXTURE_TEST_SUITE(an_event_log, piped_log)

BOOST_AUTO_TEST_SUITE(under_a_flood_of_requests)

// Guards against a failure that nobody can explain: the change of coordinator behind it was dropped
// together with the lines of thousands of requests.
BOOST_AUTO_TEST_CASE(keeps_the_lines_about_everything_else)
{
    for (int n = 0; n < 1000; ++n) {
        log->request_line("request").number("n", n);
    }
    log->line("coordinator-start").text("service", "s");
    auto text = read_all();
    BOOST_TEST(text.find("coordinator-start") != std::string::npos);
    BOOST_TEST(log->dropped() == 600U);
    BOOST_TEST(log->written() == event_log::lines_per_second + 1);
}

BOOST_AUTO_TEST_CASE(tells_how_many_lines_it_dropped_and_where)
{
    for (int n = 0; n < 410; ++n) {
        log->request_line("request").number("n", n);
    }
    auto text = read_all();
    auto at = text.find("log-dropped");
    BOOST_REQUIRE(at != std::string::npos);
    auto line = text.substr(text.rfind('\n', at) + 1);
    BOOST_TEST(line.find("\"instance\":\"i1\"") != std::string::npos);
    BOOST_TEST(line.find("\"lines\":10}") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(writes_again_in_the_next_second)
{
    for (int n = 0; n < 500; ++n) {
        log->line("role");
    }
    time.advance(std::chrono::seconds{1});
    log->line("later");
    BOOST_TEST(log->written() == event_log::lines_per_second + 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
