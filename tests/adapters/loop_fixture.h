#pragma once

#include "adapters/h2o/event_loop.h"
#include "core/logger.h"

#include <boost/test/unit_test.hpp>

#include <functional>

namespace cornelswitch::test {

/// An event loop that the test runs itself. The time limit of `run_until` only ends a test that
/// hangs; no result depends on how long something takes.
struct loop_fixture {
    event_loop loop;
    null_logger log;

    /// Handles events until `done` returns true. Fails the test after 20 s.
    auto run_until(const std::function<bool()>& done) -> void
    {
        auto deadline = loop.now() + std::chrono::seconds{20};
        bool is_done = done();
        while (!is_done && loop.now() < deadline) {
            loop.run_once(std::chrono::milliseconds{10});
            is_done = done();
        }
        BOOST_REQUIRE(is_done);
    }

    /// Handles events for `span`, so that something that must not happen has time to happen.
    auto run_for(duration span) -> void
    {
        auto end = loop.now() + span;
        while (loop.now() < end) {
            loop.run_once(std::chrono::milliseconds{1});
        }
    }
};

} // namespace cornelswitch::test
