#include "tests/ownership/succession_fixture.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch::test {
namespace {

/// Coordinators of a store that names its era and that is restored from copies.
struct restored_store_fixture : succession_fixture {
    /// Makes an instance that has seen the present era.
    auto make_reader(const char* name) -> test_coordinator
    {
        auto out = make_instance(name);
        see_era(out);
        return out;
    }
    /// Takes the store back to `copy`.
    auto restore(const std::optional<coordinator_record>& copy) -> void
    {
        newest = copy;
        era = store_era{era.value() + 1};
    }
    auto see_era(test_coordinator& it) -> void
    {
        it.succession.on_store_era(era, it.ranges.get(), time.now());
    }
    /// The instance sees the present era and reads the store's record.
    auto see_store(test_coordinator& it) -> role_change
    {
        see_era(it);
        return it.succession.on_record(newest, time.now());
    }
    /// The coordinator writes its record again after a restore.
    auto write_again(test_coordinator& it) -> void
    {
        BOOST_REQUIRE(it.succession.needs_takeover(time.now()));
        newest = it.succession.make_takeover_record(it.ranges.get());
        BOOST_REQUIRE(newest.has_value());
        BOOST_REQUIRE(it.succession.on_takeover_stored());
        it.ranges->stop();
        it.ranges = make_authority();
        it.succession.start_term(*newest, it.ranges.get(), time.now(), time.now());
        it.ranges->set_servers({{server_id{"a"}, 1}, {server_id{"b"}, 1}, {server_id{"c"}, 1}},
                               time.now());
    }
    /// Makes an instance the first coordinator, with server `a` as the owner of all keys.
    auto make_first() -> test_coordinator
    {
        auto out = make_reader("i1");
        take_over(out);
        run_with_store(out, seconds{13});
        out.ranges->move({0, 65'535}, server_id{"a"}, time.now());
        run_with_store(out, seconds{2});
        BOOST_REQUIRE(owner_of(*out.ranges, 5000, *this) == "a");
        return out;
    }
    static auto first_token(const coordinator_record& it) -> std::uint64_t
    {
        return it.token_limit.value() - coordinator_succession::tokens_per_term;
    }

    store_era era{1};
};

BOOST_FIXTURE_TEST_SUITE(a_store_that_is_restored_from_a_copy, restored_store_fixture)

// Guards against tokens that servers have seen already: the record that reserved them is lost.
BOOST_AUTO_TEST_CASE(has_higher_tokens_across_the_copy)
{
    auto first = make_first();
    auto copy = newest;
    auto second = make_reader("i2");
    take_over(second);
    auto lost = *newest;
    BOOST_TEST(first_token(lost) >= copy->token_limit.value());

    restore(copy);
    see_store(first);
    write_again(first);
    BOOST_TEST(first_token(*newest) >= lost.token_limit.value());
    BOOST_TEST(newest->term.value() > lost.term.value());
    auto again = *newest;

    // A further restore, from a copy that has no record of the last era.
    restore(copy);
    auto third = make_reader("i3");
    take_over(third);
    BOOST_TEST(first_token(*newest) >= again.token_limit.value());
    BOOST_TEST(newest->term.value() > again.term.value());
    auto in_one_era = *newest;
    auto fourth = make_reader("i4");
    take_over(fourth);
    BOOST_TEST(first_token(*newest) >= in_one_era.token_limit.value());
    BOOST_TEST(newest->term.value() == in_one_era.term.value() + 1);
}

// Guards against two holders when the coordinator that the copy names is not the latest one.
BOOST_AUTO_TEST_CASE(has_one_holder_with_two_coordinators_at_the_copy)
{
    auto first = make_first();
    auto copy = newest;
    // The first one does not know that it was replaced, and the keys have moved since.
    auto second = make_reader("i2");
    take_over(second);
    run_with_store(second, seconds{9});
    second.ranges->move({0, 65'535}, server_id{"b"}, time.now());
    run_with_store(second, seconds{1});
    BOOST_REQUIRE(owner_of(*second.ranges, 5000, *this) == "b");

    restore(copy);
    see_store(first);
    write_again(first);
    // It was not confirmed for too long to know the holders.
    BOOST_TEST(newest->ranges.empty());
    BOOST_TEST(!newest->names_all_holders);
    BOOST_TEST(!newest->has_no_live_predecessor);
    // The second one reaches its servers but not the store, until its unconfirmed time ends.
    for (int n = 0; n < 300; ++n) {
        first.ranges->move({0, 65'535}, server_id{"c"}, time.now());
        run_with_store(first, milliseconds{50});
        second.ranges->tick(time.now());
    }
    BOOST_TEST(max_holders == 1);
    BOOST_TEST(owner_of(*first.ranges, 5000, *this) == "c");
    BOOST_TEST((see_store(second) == role_change::stop));
}

// Guards against a successor that believes what the predecessor of an earlier era reports, although
// a coordinator whose record is lost may have moved the keys.
BOOST_AUTO_TEST_CASE(lets_a_successor_wait_for_all_leases)
{
    auto first = make_first();
    auto copy = newest;
    auto second = make_reader("i2");
    take_over(second);
    run_with_store(second, seconds{9});
    second.ranges->move({0, 65'535}, server_id{"b"}, time.now());
    run_with_store(second, seconds{1});

    restore(copy);
    auto third = make_reader("i3");
    time.advance(milliseconds{5});
    take_over(third);
    third.succession.on_predecessor_stopped(stop(first, newest->term), third.ranges.get(),
                                            time.now());
    BOOST_TEST(!third.ranges->is_sole(time.now()));
    for (int n = 0; n < 300; ++n) {
        third.ranges->move({0, 65'535}, server_id{"c"}, time.now());
        run_with_store(third, milliseconds{50});
        second.ranges->tick(time.now());
    }
    BOOST_TEST(max_holders == 1);
    BOOST_TEST(owner_of(*third.ranges, 5000, *this) == "c");
}

// Guards against keys without an owner after each restore: a coordinator that was confirmed until
// the restore knows its holders.
BOOST_AUTO_TEST_CASE(leaves_keys_with_the_owners_of_a_confirmed_coordinator)
{
    auto first = make_first();
    restore(newest);
    see_store(first);
    BOOST_TEST(!first.ranges->may_plan(time.now()));
    run(*first.ranges, seconds{2});
    BOOST_TEST(servers.at(server_id{"a"}).holds(5000));
    write_again(first);
    for (int n = 0; n < 100; ++n) {
        run_with_store(first, milliseconds{100});
        BOOST_TEST(servers.at(server_id{"a"}).holds(5000));
    }
    BOOST_TEST(first.ranges->is_sole(time.now()));
    BOOST_TEST(newest->names_all_holders);
}

// Guards against an append of an earlier era that the restored store accepts, because its condition
// holds again by accident.
BOOST_AUTO_TEST_CASE(ignores_a_late_write_across_the_copy)
{
    auto first = make_first();
    auto copy = newest;
    auto second = make_reader("i2");
    second.succession.on_record(copy, time.now());
    second.succession.set_assigned(true, time.now() + milliseconds{1});
    auto late = second.succession.make_takeover_record();
    BOOST_REQUIRE(late.has_value());

    restore(copy);
    see_store(first);
    write_again(first);
    // The late append follows the record of the present era.
    BOOST_TEST((first.succession.on_record(late, time.now()) == role_change::none));
    BOOST_TEST(first.succession.role().is_held());
    BOOST_TEST(first.succession.dropped_records() == 1U);
    BOOST_TEST((first.succession.record() == newest));
    // A process that starts now would not find the record that the late one hides.
    BOOST_TEST(first.succession.needs_range_record(*first.ranges, time.now()));
    BOOST_TEST(first.succession.make_range_record(*first.ranges, time.now()).has_value());
    // Its writer does not take the response of the new era for the start of its term.
    see_store(second);
    BOOST_TEST(!second.succession.on_takeover_stored());
    BOOST_TEST(!second.succession.role().is_held());
}

// Guards against two holders when the copy is older than the first record, and against keys without
// an owner for 12 s after each first start of a deployment.
BOOST_AUTO_TEST_CASE(may_lack_a_record_that_existed)
{
    auto started_later = make_reader("i1");
    take_over(started_later);
    BOOST_TEST(!newest->names_all_holders);
    BOOST_TEST(!started_later.ranges->is_sole(time.now()));

    newest.reset();
    auto at_first = make_instance("i2");
    at_first.succession.set_first_start();
    see_era(at_first);
    take_over(at_first);
    BOOST_TEST(newest->names_all_holders);
    BOOST_TEST(at_first.ranges->is_sole(time.now()));
    BOOST_TEST(!at_first.succession.needs_new_term());

    restore(std::nullopt);
    auto seen_before = make_instance("i3");
    seen_before.succession.set_first_start();
    seen_before.succession.on_store_era(store_era{1}, nullptr, time.now());
    see_era(seen_before);
    take_over(seen_before);
    BOOST_TEST(!newest->names_all_holders);
}

// Guards against a record that is written on the condition of an offset of an earlier era.
BOOST_AUTO_TEST_CASE(is_read_before_a_coordinator_writes_again)
{
    auto first = make_first();
    restore(newest);
    see_era(first);
    BOOST_TEST(!first.succession.make_takeover_record(first.ranges.get()).has_value());
    BOOST_TEST(!first.succession.make_range_record(*first.ranges, time.now()).has_value());
    see_store(first);
    BOOST_TEST(first.succession.make_takeover_record(first.ranges.get()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_era_in_a_record)

// Guards against a change of the stored records where the store has no eras.
BOOST_AUTO_TEST_CASE(is_not_written_without_eras)
{
    coordinator_record record;
    record.coordinator = instance_id{"i1"};
    record.term = lease_term{3};
    record.token_limit = fencing_token{99};
    auto text = encode_coordinator_record(record);
    BOOST_TEST(text.find("era") == std::string::npos);
    BOOST_TEST((decode_coordinator_record(text).value().era == store_era{}));
    record.era = store_era{4};
    record.term = lease_term{first_number(store_era{4}) + 1};
    BOOST_TEST((decode_coordinator_record(encode_coordinator_record(record)).value() == record));
}

// Guards against a takeover by an instance of an earlier version, which writes no era, that is
// taken for a late append of an earlier era.
BOOST_AUTO_TEST_CASE(follows_from_the_term_when_an_earlier_version_wrote_it)
{
    coordinator_record record;
    record.coordinator = instance_id{"i1"};
    record.term = lease_term{first_number(store_era{4}) + 2};
    record.token_limit = fencing_token{first_number(store_era{4}) + 9};
    auto decoded = decode_coordinator_record(encode_coordinator_record(record));
    BOOST_TEST((decoded.value().era == store_era{4}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch::test
