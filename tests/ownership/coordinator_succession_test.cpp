#include "tests/ownership/succession_fixture.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch::test {
namespace {

BOOST_AUTO_TEST_SUITE(a_succession_of_coordinators)

BOOST_FIXTURE_TEST_SUITE(with_one_that_is_cut_off, succession_fixture)

// Guards against two owners after two changes of the coordinator: the confirmation of the second
// coordinator was taken for the end of the first one, which still renews leases.
BOOST_AUTO_TEST_CASE(waits_for_the_first_one_when_the_second_one_has_stopped)
{
    auto first = make_instance("i1");
    take_over(first);
    first.ranges->move({0, 65'535}, server_id{"a"}, time.now());
    run_with_store(first, milliseconds{100});
    // The first coordinator loses the store and the other instances, but reaches the servers.
    run_cut_off(first, milliseconds{100});

    auto second = make_instance("i2");
    time.advance(milliseconds{1400});
    take_over(second);
    run_with_store(second, milliseconds{700});
    // The third one does not reach the owner, so it has to wait until the lease has expired.
    auto third = make_instance("i3");
    take_over(third, std::nullopt, {server_id{"a"}});
    third.succession.on_predecessor_stopped(stop(second, lease_term{3}), third.ranges.get(),
                                            time.now());
    BOOST_TEST(!third.ranges->is_sole(time.now()));

    for (int n = 0; n < 300; ++n) {
        third.ranges->move({0, 65'535}, server_id{"c"}, time.now());
        run_with_store(third, milliseconds{50});
        first.ranges->tick(time.now());
    }
    BOOST_TEST(max_holders == 1);
    BOOST_TEST(owner_of(*third.ranges, 5000, *this) == "c");
}

// Guards against two holders when the last renewal of a coordinator reaches a server late: it is
// sent up to 6.5 s after the coordinator's last confirmation and may take until its timeout.
BOOST_AUTO_TEST_CASE(waits_for_the_last_call_of_the_first_one)
{
    auto first = make_instance("i1");
    take_over(first);
    auto second = make_instance("i2");
    take_over(second);
    time.advance(milliseconds{6500 + 790});
    BOOST_TEST(second.succession.may_earlier_coordinator_act(time.now()));
    BOOST_TEST(!second.ranges->is_sole(time.now()));
    time.advance(milliseconds{400});
    BOOST_TEST(second.ranges->is_sole(time.now()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(with_one_that_is_killed, succession_fixture)

// Guards against two owners: keys were moved away from a server, the coordinator and that server
// ended, and the next coordinator granted the keys again to the server, which had started under the
// same id and forgotten that it had released them.
BOOST_AUTO_TEST_CASE(does_not_return_moved_keys_to_a_server_that_has_restarted)
{
    auto first = make_instance("i1");
    take_over(first);
    first.ranges->move({0, 65'535}, server_id{"a"}, time.now());
    run_with_store(first, milliseconds{100});
    first.ranges->move({0, 65'535}, server_id{"b"}, time.now());
    run_with_store(first, milliseconds{100});
    BOOST_TEST(servers.at(server_id{"b"}).holds(5000));
    first.ranges->stop();
    servers.at(server_id{"a"}).restart();

    // Service discovery does not show the restart yet.
    auto second = make_instance("i2");
    time.advance(milliseconds{1500});
    take_over(second);
    run_with_store(second, seconds{15});
    BOOST_TEST(max_holders == 1);
    BOOST_TEST(owner_of(*second.ranges, 5000, *this) == "b");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(with_one_that_stops, succession_fixture)

// Guards against a coordinator that acts longer than its successor assumes: the response to its
// append was late, and it counted its time from the response.
BOOST_AUTO_TEST_CASE(acts_for_a_bounded_time_after_it_sent_its_append)
{
    auto first = make_instance("i1");
    auto sent_at = time.now();
    time.advance(milliseconds{900});
    take_over(first, sent_at);
    time.advance(milliseconds{2200});
    BOOST_TEST(!first.ranges->may_plan(time.now()));
}

// Guards against two holders: in a second term, keys that a server may still hold were granted to
// another one before the record ceased to name the first, because the number of a record of the
// first term counted for the second.
BOOST_AUTO_TEST_CASE(does_not_take_a_record_of_its_first_term_for_one_of_its_second)
{
    auto first = make_instance("i1");
    take_over(first);
    for (int n = 0; n < 20; ++n) {
        first.ranges->move({0, 65'535}, server_id{n % 2 == 0 ? "a" : "b"}, time.now());
        run_with_store(first, milliseconds{50});
    }
    auto second = make_instance("i2");
    take_over(second);
    second.succession.on_predecessor_stopped(stop(first, lease_term{2}), second.ranges.get(),
                                             time.now());
    take_over(first);
    auto answer = stop(second, lease_term{3});
    // The predecessor reports the keys as free, but its record still names their last owner.
    answer.ranges = {{{0, 65'535}, server_id{}, 0, {}, milliseconds{-100}}};
    first.succession.on_predecessor_stopped(answer, first.ranges.get(), time.now());
    first.ranges->move({0, 65'535}, server_id{"c"}, time.now());
    BOOST_TEST(first.ranges->needs_record());
    first.succession.make_range_record(*first.ranges, time.now());
    BOOST_TEST(first.ranges->needs_record());
}

// Guards against seconds without moves after every change of the coordinator.
BOOST_AUTO_TEST_CASE(goes_on_at_once_when_no_earlier_one_is_left)
{
    auto first = make_instance("i1");
    take_over(first);
    auto second = make_instance("i2");
    take_over(second);
    BOOST_TEST(!second.ranges->is_sole(time.now()));
    second.succession.on_predecessor_stopped(stop(first, lease_term{2}), second.ranges.get(),
                                             time.now());
    BOOST_TEST(second.ranges->is_sole(time.now()));
    auto third = make_instance("i3");
    time.advance(seconds{1});
    take_over(third);
    third.succession.on_predecessor_stopped(stop(second, lease_term{3}), third.ranges.get(),
                                            time.now());
    BOOST_TEST(third.ranges->is_sole(time.now()));
}

// Guards against a wait of seconds after a restart, and against none when the coordinator before
// the earlier process may still act.
BOOST_AUTO_TEST_CASE(was_a_process_of_the_same_instance)
{
    auto first = make_instance("i1", 1);
    take_over(first);
    record(first);
    auto restarted = make_instance("i1", 2);
    take_over(restarted);
    BOOST_TEST(restarted.ranges->is_sole(time.now()));

    auto second = make_instance("i2");
    take_over(second);
    auto restarted_second = make_instance("i2", 2);
    take_over(restarted_second);
    BOOST_TEST(!restarted_second.ranges->is_sole(time.now()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_end_of_earlier_terms)

BOOST_AUTO_TEST_CASE(is_not_known_from_the_end_of_a_single_term)
{
    time_point now{seconds{100}};
    earlier_terms_end before{lease_term{3}, now + seconds{2}};
    auto joined = before.including({lease_term{3}, now});
    BOOST_REQUIRE(joined.has_value());
    BOOST_TEST(joined->term().value() == 4U);
    BOOST_TEST((joined->at() == now + seconds{2}));
    BOOST_TEST(!before.including({lease_term{4}, now}).has_value());
    BOOST_TEST((before.including({lease_term{2}, now + seconds{9}})->at() == now + seconds{2}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch::test
