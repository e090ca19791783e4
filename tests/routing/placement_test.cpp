#include "routing/placement.h"

#include "core/random.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace cornelswitch;

namespace {

auto make_input(std::size_t servers, std::size_t slots) -> placement_input
{
    placement_input out;
    out.servers.resize(servers);
    for (std::uint32_t n = 0; n < slots; ++n) {
        out.slots.push_back({static_cast<std::uint32_t>(n % servers), 10, false});
    }
    return out;
}

auto apply_moves(placement_input& input, const std::vector<placement_move>& moves) -> void
{
    for (const auto& it : moves) {
        if (!it.key) {
            input.slots[it.slot.value()].owner = it.to;
            continue;
        }
        for (const auto& key : input.hot_keys) {
            if (key.key == *it.key) {
                input.slots[it.slot.value()].load -= key.load;
                input.slots.push_back({it.to, key.load, false});
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_placement_plan)

// Guards against moves without a gain, because each move makes its slot unavailable for a moment.
BOOST_AUTO_TEST_CASE(moves_nothing_when_balanced)
{
    auto input = make_input(8, 256);
    BOOST_TEST(plan_moves(input).empty());
    BOOST_TEST(std::abs(imbalance(input) - 1) < 1e-9);
    input.servers.assign(8, {server_state::lost, 1});
    BOOST_TEST(plan_moves(input).empty());
}

// Guards against more moves than the loss of a server requires, and against an uneven result.
BOOST_AUTO_TEST_CASE(moves_only_the_slots_of_a_lost_server)
{
    auto input = make_input(8, 256);
    input.servers[3].state = server_state::lost;
    auto moves = plan_moves(input);
    BOOST_TEST(moves.size() == 32U);
    for (const auto& it : moves) {
        BOOST_TEST(it.from == 3U);
        BOOST_TEST(it.to != 3U);
    }
    apply_moves(input, moves);
    BOOST_TEST(imbalance(input) < 1.05);
    BOOST_TEST(plan_moves(input).empty());
}

// Guards against a drain that moves everything at once.
BOOST_AUTO_TEST_CASE(limits_concurrent_drains)
{
    auto input = make_input(8, 256);
    input.concurrent_drains = 4;
    input.servers[3].state = server_state::draining;
    input.slots[3].moving = true;
    auto moves = plan_moves(input);
    BOOST_TEST(moves.size() == 3U);
    for (const auto& it : moves) {
        BOOST_TEST(it.slot.value() != 3U);
    }
}

// Guards against a move whose gain is below the price, and against a price that stops all moves.
BOOST_AUTO_TEST_CASE(moves_only_when_the_gain_exceeds_the_price)
{
    auto input = make_input(4, 64);
    input.slots[0].load = 60;
    input.slots[4].load = 60;
    input.move_price_percent = 40;
    BOOST_TEST(plan_moves(input).empty());
    input.move_price_percent = 5;
    auto moves = plan_moves(input);
    BOOST_TEST(moves.size() >= 1U);
    auto before = imbalance(input);
    apply_moves(input, moves);
    BOOST_TEST(imbalance(input) < before - 0.05);
}

// Guards against moving a whole slot because of one hot key, and against an unbounded number of
// splits.
BOOST_AUTO_TEST_CASE(gives_a_hot_key_its_own_slot)
{
    auto input = make_input(4, 64);
    input.slots[0].load = 200;
    input.hot_keys = {{key_hash{7}, slot_index{0}, 100}, {key_hash{8}, slot_index{0}, 90}};
    input.concurrent_moves = 1;
    auto moves = plan_moves(input);
    BOOST_REQUIRE(moves.size() == 1U);
    BOOST_TEST(moves.front().key.has_value());
    BOOST_TEST(moves.front().from == 0U);
    input.remaining_overrides = 0;
    for (const auto& it : plan_moves(input)) {
        BOOST_TEST(!it.key.has_value());
    }
}

// Guards against plans that keep moving slots without ever reaching a stable placement.
BOOST_AUTO_TEST_CASE(converges_for_random_loads)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random_engine random{seed};
        auto input = make_input(2 + uniform_below(random, 20), 512);
        for (auto& it : input.slots) {
            it.load = 1 / (0.001 + uniform_real(random));
        }
        input.move_price_percent = 1;
        std::size_t rounds = 0;
        for (auto moves = plan_moves(input); !moves.empty(); moves = plan_moves(input)) {
            auto before = imbalance(input);
            apply_moves(input, moves);
            BOOST_TEST(imbalance(input) < before);
            BOOST_REQUIRE(++rounds < 200U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
