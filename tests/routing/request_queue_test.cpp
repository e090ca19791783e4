#include "routing/request_queue.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

using namespace cornelswitch;
using namespace std::chrono_literals;

namespace {

auto make_request(std::uint64_t id, const char* tenant, request_class priority, duration deadline)
    -> request_info
{
    request_info out;
    out.id = request_id{id};
    out.tenant = tenant_id{tenant};
    out.priority = priority;
    out.deadline = time_point{} + deadline;
    return out;
}

auto interactive(std::uint64_t id, const char* tenant, duration deadline = 1s) -> request_info
{
    return make_request(id, tenant, request_class::interactive, deadline);
}

auto bulk(std::uint64_t id, const char* tenant) -> request_info
{
    return make_request(id, tenant, request_class::bulk, 1s);
}

auto pop_id(request_queue& queue) -> std::uint64_t
{
    auto it = queue.pop();
    return it ? it->id.value() : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_queue)

// Guards against an urgent request that waits behind one with a later deadline.
BOOST_AUTO_TEST_CASE(sends_the_earliest_deadline_of_a_tenant_first)
{
    request_queue queue{8};
    queue.push(interactive(1, "a", 300ms));
    queue.push(interactive(2, "a", 100ms));
    queue.push(interactive(3, "a", 300ms));
    BOOST_TEST(queue.ahead_of(interactive(4, "a", 300ms)) == 3U);
    BOOST_TEST(pop_id(queue) == 2U);
    BOOST_TEST(pop_id(queue) == 1U);
    BOOST_TEST(pop_id(queue) == 3U);
    BOOST_TEST(!queue.pop());
}

// Guards against a tenant whose flood of requests delays others by more than one request each.
BOOST_AUTO_TEST_CASE(serves_tenants_in_turn_whatever_their_deadlines)
{
    request_queue queue{100};
    for (std::uint64_t n = 1; n <= 50; ++n) {
        queue.push(interactive(n, "flood", 1ms));
    }
    queue.push(interactive(101, "quiet"));
    // One request of the flood, request 101, and another one of the flood.
    BOOST_TEST(queue.ahead_of(interactive(102, "quiet", 2s)) == 3U);
    pop_id(queue);
    BOOST_TEST(pop_id(queue) == 101U);
}

// Guards against a tenant that accumulates turns while absent and then takes several in a row.
BOOST_AUTO_TEST_CASE(gives_no_credit_for_absence)
{
    request_queue queue{100};
    for (std::uint64_t n = 1; n <= 20; ++n) {
        queue.push(interactive(n, "a"));
    }
    for (auto n = 0; n < 10; ++n) {
        queue.pop();
    }
    std::map<std::string, int> sent;
    for (std::uint64_t n = 51; n <= 60; ++n) {
        queue.push(interactive(n, "b"));
    }
    for (auto n = 0; n < 10; ++n) {
        ++sent[queue.pop()->tenant.value()];
    }
    BOOST_TEST(sent["a"] == 5);
    BOOST_TEST(sent["b"] == 5);
}

// Guards against starving bulk requests, and against delaying interactive ones beyond the bound.
BOOST_AUTO_TEST_CASE(gives_bulk_one_send_in_eight)
{
    request_queue queue{100};
    for (std::uint64_t n = 1; n <= 40; ++n) {
        queue.push(interactive(n, "a"));
        queue.push(bulk(100 + n, "a"));
    }
    auto bulk_sent = 0;
    for (auto n = 0; n < 32; ++n) {
        bulk_sent += pop_id(queue) > 100 ? 1 : 0;
    }
    BOOST_TEST(bulk_sent == 4);
}

// Guards against one tenant that fills the queue and shuts out the others, and against displacing
// requests of a tenant with an equal share.
BOOST_AUTO_TEST_CASE(displaces_only_a_tenant_above_its_share)
{
    request_queue queue{4};
    for (std::uint64_t n = 1; n <= 4; ++n) {
        queue.push(interactive(n, "flood", n * 1s));
    }
    BOOST_TEST(!queue.push(interactive(5, "flood")).queued);
    auto pushed = queue.push(interactive(6, "quiet"));
    BOOST_TEST(pushed.queued);
    BOOST_TEST(pushed.displaced->id.value() == 4U);
    queue.push(interactive(7, "quiet"));
    BOOST_TEST(!queue.push(interactive(8, "quiet")).queued);
    BOOST_TEST(queue.size() == 4U);
}

// Guards against sending a request that was removed.
BOOST_AUTO_TEST_CASE(forgets_removed_requests)
{
    request_queue queue{4};
    queue.push(interactive(1, "a"));
    queue.push(interactive(2, "a"));
    BOOST_TEST(queue.remove(request_id{1}));
    BOOST_TEST(!queue.remove(request_id{1}));
    auto removed =
        queue.remove_if([](const request_info&, std::size_t ahead) { return ahead == 0; });
    BOOST_TEST(removed.size() == 1U);
    BOOST_TEST(queue.empty());
}

BOOST_AUTO_TEST_SUITE_END()
