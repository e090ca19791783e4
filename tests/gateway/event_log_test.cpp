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

/// A log that writes to a pipe, and the reading end of the pipe.
struct piped_log {
    piped_log()
    {
        BOOST_REQUIRE(pipe2(pipe_ends.data(), O_NONBLOCK) == 0);
        log.emplace(time, pipe_ends[1], "i1", "z1");
    }
    ~piped_log()
    {
        log.reset();
        close(pipe_ends[0]);
        close(pipe_ends[1]);
    }

    /// Reads all written lines. Flushes before each read, because the pipe holds only a part of
    /// them.
    auto read_all() -> std::string
    {
        std::string out;
        std::array<char, 65536> buf{};
        ssize_t n = 1;
        while (n > 0) {
            log->flush();
            n = ::read(pipe_ends[0], buf.data(), buf.size());
            out.append(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
        }
        return out;
    }

    manual_clock time;
    std::array<int, 2> pipe_ends{-1, -1};
    std::optional<event_log> log;
};

BOOST_FIXTURE_TEST_SUITE(an_event_log, piped_log)

BOOST_AUTO_TEST_SUITE(with_more_request_lines_than_the_limit)

// Guards against the loss of lines about coordinator changes when thousands of request lines exceed
// the limit. Without those lines the failures of the requests cannot be explained.
BOOST_AUTO_TEST_CASE(keeps_all_other_lines)
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

BOOST_AUTO_TEST_CASE(reports_how_many_lines_it_dropped_and_which_instance_dropped_them)
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
