#include "tests/ownership/running_cell.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

namespace cornelswitch::test {

using namespace std::chrono_literals;

namespace {

struct fault {
    const char* name;
    std::function<void(cell_harness&, std::uint64_t seed)> begin;
};

auto member(std::uint64_t seed) -> std::string
{
    return "i" + std::to_string(seed % 3);
}

auto server(std::uint64_t seed) -> std::string
{
    return "s" + std::to_string(seed % 3);
}

// Faults in the first cell; the second cell receives moved slots. `seed` selects the processes that
// fail.
auto faults() -> std::vector<fault>
{
    return {
        {"instance killed", [](auto& it, auto n) { it.kill(member(n)); }},
        {"instance restarted",
         [](auto& it, auto n) {
             it.kill(member(n));
             it.restart(member(n));
         }},
        {"instance paused", [](auto& it, auto n) { it.pause(member(n), 400ms + n % 7 * 200ms); }},
        {"instance paused in a send",
         [](auto& it, auto n) { it.pause_in_send(member(n), 400ms + n % 7 * 200ms); }},
        {"instance isolated", [](auto& it, auto n) { it.isolate({member(n)}); }},
        {"links cut one way",
         [](auto& it, auto n) {
             it.cut(member(n), member(n + 1));
             it.cut(member(n), server(n));
             it.cut(server(n + 1), member(n));
         }},
        {"zone cut from the log",
         [](auto& it, auto) {
             for (const auto* name : {"i0", "i1", "i2"}) {
                 it.cut_both(name, "log");
             }
         }},
        {"zone cut from everything",
         [](auto& it, auto) {
             it.isolate({"i0", "i1", "i2", "s0", "s1", "s2"});
         }},
        {"log down", [](auto& it, auto) { it.set_log(false, false, 5ms); }},
        {"log slow, answers lost", [](auto& it, auto) { it.set_log(true, true, 400ms); }},
        {"messages lost and late", [](auto& it, auto) { it.set_loss(10, 5); }},
        {"server killed", [](auto& it, auto n) { it.kill_server(server(n)); }},
        {"server frozen", [](auto& it, auto n) { it.pause(server(n), 300ms + n % 7 * 200ms); }},
        {"server restarted", [](auto& it, auto n) { it.restart_server(server(n)); }},
        {"slot moved and split",
         [](auto& it, auto n) {
             it.move_slot(n % 3, "s" + std::to_string(3 + n % 3), n % 2 == 0);
         }},
        {"member added",
         [](auto& it, auto) {
             it.start_instance("i9");
             it.set_members(0, {"i0", "i1", "i2", "i9"});
         }},
    };
}

auto end_faults(cell_harness& it) -> void
{
    it.heal();
    for (const auto* name : {"i0", "i1", "i2"}) {
        if (!it.is_up(name)) {
            it.restart(name);
        }
    }
    for (const auto* name : {"s0", "s1", "s2"}) {
        if (!it.is_up(name)) {
            it.restart_server(name);
        }
    }
}

auto run_pair(const fault& first, const fault& second, std::uint64_t seed) -> void
{
    BOOST_TEST_CONTEXT(first.name << " + " << second.name << ", seed " << seed)
    {
        running_cell it{{.seed = seed, .cells = 2, .servers = 3}};
        first.begin(it, seed);
        it.run_for(seed * 37 % 700 * 1ms);
        second.begin(it, seed + seed % 2);
        it.run_for(2500ms);
        end_faults(it);
        check_serves(it, 8s);
    }
}

// Number of seeds for each pair of faults. CI runs two; the environment variable sets more for long
// searches.
auto seeds() -> std::uint64_t
{
    const auto* text = std::getenv("CORNELSWITCH_FAULT_SEEDS");
    return text == nullptr ? 2 : std::strtoull(text, nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_SUITE(cell_faults_suite)

// Guards against pairs of faults that are handled one at a time but not together. They may cause
// two owners of a slot, requests that run twice, decreasing epochs, or slots that stay unserved
// after the faults have ended.
BOOST_AUTO_TEST_CASE(two_faults_at_once)
{
    const auto all = faults();
    std::uint64_t seed = 0;
    for (std::uint64_t round = 0; round < seeds(); ++round) {
        for (std::size_t a = 0; a < all.size(); ++a) {
            for (std::size_t b = a; b < all.size(); ++b) {
                run_pair(all[a], all[b], ++seed);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cornelswitch::test
