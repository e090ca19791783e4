#include "tests/ownership/succession_model.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>

namespace cornelswitch::test {
namespace {

/// Describes how many of the runs violated each invariant, for measurements by hand.
auto count_violations(model_options options, std::uint64_t seeds) -> std::string
{
    int two_holders = 0;
    int lower_tokens = 0;
    int unowned = 0;
    for (std::uint64_t n = 1; n <= seeds; ++n) {
        options.seed = n;
        auto found = succession_model{options}.run();
        bool is_violated = !found.violations.empty();
        bool is_holder =
            is_violated && found.violations.front().find("held by") != std::string::npos;
        two_holders += is_holder ? 1 : 0;
        lower_tokens += is_violated && !is_holder ? 1 : 0;
        unowned += !is_violated && found.unowned_blocks > 0 ? 1 : 0;
    }
    return std::to_string(seeds) + " runs, first violation: " + std::to_string(two_holders) +
           " two holders, " + std::to_string(lower_tokens) + " token not higher; " +
           std::to_string(unowned) + " runs with keys that no server holds in the end";
}

/// Runs the model with each seed and returns the violations of the first run that has any.
auto run_seeds(model_options options, std::uint64_t seeds) -> std::string
{
    if (const char* more = std::getenv("CORNELSWITCH_MODEL_SEEDS")) {
        seeds = std::stoull(more);
    }
    if (std::getenv("CORNELSWITCH_MODEL_COUNTS") != nullptr) {
        BOOST_TEST_MESSAGE(count_violations(options, seeds));
        return "";
    }
    std::uint64_t terms = 0;
    std::uint64_t moves = 0;
    std::uint64_t restarts = 0;
    if (const char* only = std::getenv("CORNELSWITCH_MODEL_TRACE")) {
        options.seed = std::stoull(only);
        options.trace = [](const std::string& line) { BOOST_TEST_MESSAGE(line); };
        succession_model{options}.run();
        return "";
    }
    for (std::uint64_t n = 1; n <= seeds; ++n) {
        options.seed = n;
        auto found = succession_model{options}.run();
        terms += found.terms;
        moves += found.moves;
        restarts += found.restarts;
        if (!found.violations.empty()) {
            return "seed " + std::to_string(n) + ": " + found.violations.front();
        }
        if (found.unowned_blocks > 0) {
            return "seed " + std::to_string(n) + ": " + std::to_string(found.unowned_blocks) +
                   " blocks of keys are held by no server after all faults ended";
        }
    }
    BOOST_TEST_MESSAGE(seeds << " runs: " << terms << " terms, " << moves << " moves, " << restarts
                             << " restarts of servers");
    return "";
}

BOOST_AUTO_TEST_SUITE(coordinators_that_replace_each_other)

// Guards against two holders when a coordinator believes that an earlier one has ended.
BOOST_AUTO_TEST_CASE(grant_each_key_to_one_server_at_a_time)
{
    model_options options;
    options.restarts_servers = false;
    BOOST_TEST(run_seeds(options, 300) == "");
}

// Guards against two holders when a server has forgotten what it released, and when a coordinator
// does not know the last moves of the ones before.
BOOST_AUTO_TEST_CASE(grant_each_key_to_one_server_while_servers_restart)
{
    BOOST_TEST(run_seeds({}, 600) == "");
}

// Guards against waits that are too short when clocks differ in rate.
BOOST_AUTO_TEST_CASE(grant_each_key_to_one_server_with_clocks_that_drift)
{
    model_options options;
    options.max_drift_per_mille = 20;
    BOOST_TEST(run_seeds(options, 600) == "");
}

// Guards against two holders and against lower tokens when the store loses acknowledged records.
BOOST_AUTO_TEST_CASE(grant_each_key_to_one_server_while_the_store_is_restored)
{
    model_options options;
    options.restores_store = true;
    options.max_drift_per_mille = 20;
    BOOST_TEST(run_seeds(options, 600) == "");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch::test
