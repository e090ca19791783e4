#pragma once

#include "tests/ownership/cell_harness.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch::test {

/// A harness in which every slot is being served.
struct running_cell : cell_harness {
    explicit running_cell(const harness_options& options) : cell_harness{options}
    {
        using namespace std::chrono_literals;
        BOOST_REQUIRE(run_until([this] { return unserved().empty(); }, 3s));
        run_for(500ms);
    }
};

/// Fails if an invariant was violated, and shows the seed and the time of the first violation.
inline auto check_invariants(const cell_harness& it) -> void
{
    auto first = it.violations().empty() ? std::string{} : it.violations().front();
    BOOST_TEST(it.violations().empty(), first);
}

/// Checks that every slot is served within `limit` and one second later, and that no invariant was
/// violated.
inline auto check_serves(cell_harness& it, duration limit) -> void
{
    using namespace std::chrono_literals;
    BOOST_TEST(it.run_until([&it] { return it.unserved().empty(); }, limit).has_value());
    it.run_for(1s);
    BOOST_TEST(it.unserved().empty());
    check_invariants(it);
}

} // namespace cornelswitch::test
