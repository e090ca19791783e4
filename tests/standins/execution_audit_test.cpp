#include "standins/execution_audit.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;

namespace {

auto executed(const char* request, const char* method, const char* key, const char* server,
              std::int64_t from, std::int64_t until) -> execution_audit::audited_execution
{
    return {request, "s", key, method, {from, until, server}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_execution_audit)

// Guards against an audit that cannot fail: each kind of violation must be found.
BOOST_AUTO_TEST_CASE(finds_each_kind_of_violation)
{
    execution_audit audit;
    audit.add_keyed_service("s");
    audit.add(executed("r1", "POST", "a", "s1", 0, 10));
    audit.add(executed("r1", "POST", "a", "s1", 20, 30));
    audit.add(executed("r2", "GET", "b", "s1", 0, 10));
    audit.add(executed("r3", "GET", "b", "s2", 9, 12));
    audit.add_not_run_refusal("r2");
    audit.set_holdings("s1", {{"s 1", {0, 100, "s1"}}, {"s 2", {0, 50, "s1"}}});
    audit.set_holdings("s2", {{"s 1", {90, 95, "s2"}}, {"s 2", {50, 70, "s2"}}});
    auto out = audit.evaluate();
    BOOST_TEST(out.executions == 4U);
    BOOST_TEST(out.double_executions == 1U);
    BOOST_TEST(out.false_not_run == 1U);
    BOOST_TEST(out.keys_with_two_owners == 1U);
    BOOST_TEST(out.slots_with_two_owners == 1U);
    BOOST_TEST(out.keys_with_several_servers == 1U);
    BOOST_TEST(out.examples.size() == 4U);
}

// Guards against an overlap that is missed because another interval starts between the two.
BOOST_AUTO_TEST_CASE(finds_an_overlap_of_intervals_that_are_not_adjacent)
{
    execution_audit audit;
    audit.add_keyed_service("s");
    audit.add(executed("r1", "GET", "a", "s1", 0, 100));
    audit.add(executed("r2", "GET", "a", "s1", 10, 20));
    audit.add(executed("r3", "GET", "a", "s2", 50, 60));
    BOOST_TEST(audit.evaluate().keys_with_two_owners == 1U);
}

// Guards against false positives for repeated reads and for keys that moved without an overlap.
BOOST_AUTO_TEST_CASE(accepts_repeated_reads_and_moves)
{
    execution_audit audit;
    audit.add_keyed_service("s");
    audit.add(executed("r1", "GET", "a", "s1", 0, 10));
    audit.add(executed("r1", "GET", "a", "s2", 10, 20));
    audit.add(executed("r2", "GET", "a", "s1", 20, 30));
    auto out = audit.evaluate();
    BOOST_TEST(out.double_executions == 0U);
    BOOST_TEST(out.keys_with_two_owners == 0U);
    BOOST_TEST(out.max_successive_owners == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
