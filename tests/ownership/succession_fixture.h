#pragma once

#include "ownership/coordinator_succession.h"
#include "tests/ownership/lease_fixture.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <set>

namespace cornelswitch::test {

/// One process of an instance, with its copy of the role's decisions and its ranges.
struct test_coordinator {
    coordinator_succession succession;
    std::unique_ptr<range_authority> ranges;
};

/// Instances that take over from each other, with the record that the store holds.
struct succession_fixture : lease_fixture {
    auto make_instance(const char* name, std::uint64_t boot = 1) -> test_coordinator
    {
        return {coordinator_succession{instance_id{name}, boot_id{boot}, endpoint{name, 1}},
                nullptr};
    }

    /// Makes the instance the coordinator of the next term. `confirmed_at` is when it sent the
    /// append whose response has arrived now.
    auto take_over(test_coordinator& it, std::optional<time_point> confirmed_at = {},
                   const std::set<server_id>& cut_off = {}) -> void
    {
        it.succession.on_record(newest, time.now());
        it.succession.set_assigned(true, time.now() + milliseconds{1});
        newest = it.succession.make_takeover_record();
        BOOST_REQUIRE(newest.has_value());
        BOOST_REQUIRE(it.succession.on_takeover_stored());
        it.ranges = make_authority(cut_off);
        it.succession.start_term(*newest, it.ranges.get(), confirmed_at.value_or(time.now()),
                                 time.now());
        it.ranges->set_servers({{server_id{"a"}, 1}, {server_id{"b"}, 1}, {server_id{"c"}, 1}},
                               time.now());
    }

    /// Runs the coordinator and writes its ranges to the store when they are due.
    auto run_with_store(test_coordinator& it, duration length) -> void
    {
        is_store_writable = false;
        for (auto end = time.now() + length; time.now() < end;) {
            run(*it.ranges, milliseconds{10});
            if (it.succession.needs_range_record(*it.ranges, time.now())) {
                record(it);
            }
        }
    }

    /// Runs the coordinator without contact to the store.
    auto run_cut_off(test_coordinator& it, duration length) -> void
    {
        is_store_writable = false;
        run(*it.ranges, length, false);
    }

    /// Writes the ranges of the coordinator to the store.
    auto record(test_coordinator& it) -> void
    {
        if (auto next = it.succession.make_range_record(*it.ranges, time.now())) {
            newest = next;
            it.succession.on_range_record_stored(*it.ranges, time.now(), time.now());
        }
    }

    /// Ends the term of the instance and returns its confirmation.
    auto stop(test_coordinator& it, lease_term successor) -> stopped_coordinator
    {
        BOOST_REQUIRE(it.succession.on_superseded(successor, time.now()));
        it.succession.end_term(it.ranges.get(), time.now());
        return it.succession.make_stop_confirmation(time.now());
    }

    /// Newest record in the store.
    std::optional<coordinator_record> newest;
};

} // namespace cornelswitch::test
