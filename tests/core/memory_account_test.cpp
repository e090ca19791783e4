#include "core/memory_reservation.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace cornelswitch {
namespace {

struct account_fixture {
    memory_account account{1000, 200};
    std::vector<memory_pressure> changes;

    account_fixture()
    {
        account.set_on_pressure([this](memory_pressure next) { changes.push_back(next); });
    }
    auto reservation() -> memory_reservation { return {account, memory_kind::request_body}; }
};

BOOST_FIXTURE_TEST_SUITE(a_memory_account, account_fixture)

// Guards against bytes that stay counted after their owner has gone, or are released twice.
BOOST_AUTO_TEST_CASE(releases_what_a_reservation_held)
{
    {
        auto first = reservation();
        BOOST_TEST(first.try_resize(300, memory_use::large));
        auto second = std::move(first);
        auto third = reservation();
        third.resize(50);
        third = std::move(second);
        BOOST_TEST(account.held(memory_kind::request_body) == 300U);
    }
    BOOST_TEST(account.total() == 0U);
}

// Guards against large bodies that leave no room for ordinary requests.
BOOST_AUTO_TEST_CASE(keeps_a_share_for_small_uses)
{
    auto large = reservation();
    BOOST_TEST(large.try_resize(800, memory_use::large));
    BOOST_TEST(!large.try_resize(801, memory_use::large));
    BOOST_TEST(large.bytes() == 800U);
    auto small = reservation();
    BOOST_TEST(small.try_resize(200, memory_use::small));
    BOOST_TEST(!small.try_resize(201, memory_use::small));
    BOOST_TEST(!account.fits(UINT64_MAX, memory_use::small));
}

// Guards against a log line for each request while the account is nearly full.
BOOST_AUTO_TEST_CASE(changes_its_pressure_once_when_it_runs_out_and_once_when_it_is_free)
{
    auto first = reservation();
    auto second = reservation();
    first.resize(500);
    second.resize(290);
    BOOST_TEST(!first.try_resize(600, memory_use::large));
    BOOST_TEST(!first.try_resize(600, memory_use::large));
    second.resize(150);
    second.resize(290);
    BOOST_TEST((account.pressure() == memory_pressure::exhausted));
    second.resize(0);
    first.resize(100);
    std::vector<memory_pressure> expected{memory_pressure::tight, memory_pressure::exhausted,
                                          memory_pressure::tight, memory_pressure::none};
    BOOST_TEST((changes == expected));
}

// Guards against a report of shortage because of one body that no instance of this size carries.
BOOST_AUTO_TEST_CASE(is_not_exhausted_by_a_use_that_never_fits)
{
    auto body = reservation();
    BOOST_TEST(!body.try_resize(5000, memory_use::large));
    BOOST_TEST((account.pressure() == memory_pressure::none));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
