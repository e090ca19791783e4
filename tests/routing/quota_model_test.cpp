#include "tests/routing/quota_model.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace cornelswitch {
namespace {

using namespace test;
using std::chrono::seconds;

const std::vector<quota_fault> all_faults{
    quota_fault::allocator_lost, quota_fault::allocator_replaced, quota_fault::allocator_cut_off,
    quota_fault::zone_cut_off,   quota_fault::many_killed,        quota_fault::one_restarted,
    quota_fault::instances_added};

/// Quotas of a large, a medium and a small workspace, with their usual rates.
const std::vector<std::pair<request_quota, double>> workspaces{
    {{334, 334}, 250}, {{40, 20}, 30}, {{4, 4}, 3}};

/// Runs the model with several seeds, checks the bound in every window and prints both errors.
auto run_model(const std::string& name, quota_model_options options, std::uint64_t seeds = 3)
    -> quota_model_result
{
    quota_model_result sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        auto one = quota_model{options}.run();
        BOOST_TEST_CONTEXT(name << ", seed " << seed)
        {
            BOOST_TEST(one.excess <= 0);
        }
        sum.overrun = std::max(sum.overrun, one.overrun);
        sum.excess = std::max(sum.excess, one.excess);
        sum.offered += one.offered;
        sum.refused_within_quota += one.refused_within_quota;
        sum.refused_within_quota_in_faults += one.refused_within_quota_in_faults;
        sum.offered_within_quota += one.offered_within_quota;
    }
    BOOST_TEST_MESSAGE(name << " of " << options.quota.per_second << "/s: worst window "
                            << sum.overrun << " requests above the quota, " << -sum.excess
                            << " below the bound; refused within the quota "
                            << sum.refused_within_quota << ", in faults "
                            << sum.refused_within_quota_in_faults << " of "
                            << sum.offered_within_quota);
    return sum;
}

BOOST_AUTO_TEST_SUITE(quotas_of_many_instances)

// Guards against refusals for lack of exact information, also when one instance after the other
// gets nine tenths of the requests and its share is small.
BOOST_AUTO_TEST_CASE(refuse_nothing_of_a_workspace_below_its_rate)
{
    for (bool is_uneven : {false, true}) {
        quota_model_options options;
        options.usual_rate = 300;
        options.burst_factor = 1;
        options.is_uneven = is_uneven;
        auto result = run_model(is_uneven ? "steady uneven load" : "steady load", options);
        BOOST_TEST(result.refused_within_quota == 0U);
        BOOST_TEST(result.offered_within_quota == result.offered);
    }
}

// Guards against a workspace that suddenly sends eight times its usual load.
BOOST_AUTO_TEST_CASE(hold_in_bursts_of_eight_times_the_usual_load)
{
    for (const auto& [quota, usual_rate] : workspaces) {
        for (bool is_uneven : {false, true}) {
            quota_model_options options;
            options.quota = quota;
            options.usual_rate = usual_rate;
            options.is_uneven = is_uneven;
            run_model(is_uneven ? "uneven bursts" : "bursts", options);
        }
    }
}

// Guards against each fault alone, while the load is in bursts.
BOOST_AUTO_TEST_CASE(hold_in_each_fault)
{
    for (auto fault : all_faults) {
        for (const auto& [quota, usual_rate] : workspaces) {
            for (bool is_uneven : {false, true}) {
                quota_model_options options;
                options.quota = quota;
                options.usual_rate = usual_rate;
                options.is_uneven = is_uneven;
                options.faults = {fault};
                options.length = seconds{30};
                run_model("fault " + std::to_string(static_cast<int>(fault)), options, 2);
            }
        }
    }
}

// Guards against two allocators in a partition that together hand out more than the quota: one
// reserved the last shares of the silent instances, the other divided their equal parts.
BOOST_AUTO_TEST_CASE(hold_in_a_burst_that_lasts_longer_than_a_partition)
{
    quota_model_options options;
    options.seed = 363;
    options.faults = {quota_fault::zone_cut_off};
    BOOST_TEST(quota_model{options}.run().excess <= 0);
}

// Guards against faults that follow each other before the effects of the first have ended.
BOOST_AUTO_TEST_CASE(hold_in_mixed_faults)
{
    for (const auto& [quota, usual_rate] : workspaces) {
        quota_model_options options;
        options.quota = quota;
        options.usual_rate = usual_rate;
        options.faults = all_faults;
        run_model("mixed faults", options, 4);
        options.instances = 12;
        options.is_uneven = true;
        run_model("mixed faults of 12 instances", options, 4);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
