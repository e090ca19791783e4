#include "tests/ownership/golden_file.h"
#include "tests/ownership/running_cell.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch::test {

using namespace std::chrono_literals;

namespace {

// Exact clocks and few slots, so that the traces are easy to read.
auto options(int cells = 1) -> harness_options
{
    return {.seed = 1, .cells = cells, .servers = 2, .slots = 4, .drift = false, .trace = true};
}

auto check_golden(cell_harness& it, const std::string& name, duration time) -> void
{
    it.run_for(time);
    auto difference = golden_difference(name, it.trace());
    BOOST_TEST(difference.empty(), name << " differs:\n" << difference);
    check_invariants(it);
}

} // namespace

// Guards against unintended changes in the order and the content of messages.
BOOST_AUTO_TEST_SUITE(cell_golden_suite)

BOOST_AUTO_TEST_CASE(a_lost_dispatcher)
{
    running_cell it{options()};
    it.clear_trace();
    it.kill(it.dispatcher_of("s0"));
    check_golden(it, "cell_lost_dispatcher", 1s);
}

BOOST_AUTO_TEST_CASE(a_lost_server)
{
    running_cell it{options()};
    it.clear_trace();
    it.kill_server("s0");
    check_golden(it, "cell_lost_server", 1500ms);
}

BOOST_AUTO_TEST_CASE(a_move_to_another_cell)
{
    running_cell it{options(2)};
    it.clear_trace();
    it.move_slot(0, "s2");
    check_golden(it, "cell_move", 1s);
}

BOOST_AUTO_TEST_CASE(a_replaced_instance)
{
    running_cell it{options()};
    it.clear_trace();
    it.kill("i1");
    it.run_for(500ms);
    it.restart("i1");
    check_golden(it, "cell_replaced_instance", 1500ms);
}

BOOST_AUTO_TEST_CASE(a_log_outage)
{
    running_cell it{options()};
    it.clear_trace();
    it.set_log(false, false, 5ms);
    it.kill_server("s0");
    it.run_for(1200ms);
    it.heal();
    check_golden(it, "cell_log_outage", 1500ms);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelswitch::test
