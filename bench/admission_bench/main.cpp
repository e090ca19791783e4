#include "bench/admission_bench/admission_load.h"
#include "core/milliseconds.h"

#include <cxxopts.hpp>

#include <iomanip>
#include <iostream>

namespace {

using namespace cornelswitch;
using namespace cornelswitch::bench;
using namespace std::chrono_literals;

/// Value of a late response, and of a second or a late refusal, relative to a response in time.
constexpr double late_value = 0.5;
constexpr double bad_refusal_value = -0.25;

struct way {
    std::string name;
    admission_value_settings settings;
};

auto ways() -> std::vector<way>
{
    admission_value_settings chosen;
    auto earlier = chosen;
    earlier.displaces = false;
    earlier.min_served_share = 0;
    earlier.books_returns = false;
    auto strict = chosen;
    strict.counts_work = false;
    strict.min_served_share = 0;
    auto slot_second = chosen;
    slot_second.order = admission_order::value;
    slot_second.priority_step = 2;
    slot_second.min_served_share = 0;
    auto reserved = chosen;
    reserved.counts_work = false;
    auto latest_start = chosen;
    latest_start.order = admission_order::latest_start;
    latest_start.min_served_share = 0;
    auto without_places = chosen;
    without_places.books_returns = false;
    return {{"earlier order", earlier},
            {"strict priority", strict},
            {"value by slot second", slot_second},
            {"reserved share", reserved},
            {"latest start", latest_start},
            {"chosen, no places", without_places},
            {"chosen", chosen}};
}

auto classes(duration urgent, duration usual, duration patient, double burst)
    -> std::vector<load_class>
{
    return {{"urgent", 0, urgent, 600ms + urgent, 2500ms, 4, 0.25, burst},
            {"usual", 1, usual, 1200ms + usual, 5s, 2, 0.25, burst},
            {"patient", 2, patient, 2500ms + patient, 10s, 1, 0.25, burst}};
}

auto scenarios() -> std::vector<load_scenario>
{
    std::vector<load_scenario> out;
    auto add = [&](std::string name, std::vector<load_class> list, duration length,
                   double lost = 0) -> load_scenario& {
        return out.emplace_back(load_scenario{std::move(name), std::move(list), length, lost});
    };
    add("equal-1.5x-15s", classes(300ms, 300ms, 300ms, 1.5), 15s);
    add("equal-2.3x-5s", classes(300ms, 300ms, 300ms, 2.3), 5s);
    add("equal-2.3x-15s", classes(300ms, 300ms, 300ms, 2.3), 15s);
    add("light-urgent-2.3x-10s", classes(200ms, 340ms, 540ms, 2.3), 10s);
    add("heavy-urgent-2.3x-10s", classes(540ms, 340ms, 200ms, 2.3), 10s);
    auto& urgent = add("urgent-alone-2.3x-10s", classes(300ms, 300ms, 300ms, 1), 10s);
    urgent.classes[0].burst = 2.3;
    auto& urgent_long = add("urgent-alone-5x-15s", classes(300ms, 300ms, 300ms, 1), 15s);
    urgent_long.classes[0].burst = 5;
    auto& patient = add("patient-alone-2.3x-10s", classes(200ms, 340ms, 540ms, 1), 10s);
    patient.classes[2].burst = 2.3;
    add("third-lost-10s", classes(200ms, 340ms, 540ms, 1), 10s, 1.0 / 3);
    add("third-lost-1.5x-10s", classes(200ms, 340ms, 540ms, 1.5), 10s, 1.0 / 3);
    auto same = classes(200ms, 340ms, 540ms, 2.3);
    for (auto& it : same) {
        it.priority = 0;
        it.value = 1;
    }
    add("one-priority-2.3x-10s", same, 10s);
    add("one-class-2.3x-10s", {{"only", 0, 300ms, 1s, 4s, 1, 0.75, 2.3}}, 10s);
    add("one-class-1.0x-10s", {{"only", 0, 300ms, 1s, 4s, 1, 0.75, 1.0}}, 10s);
    auto& twice = add("two-returns-2.3x-10s", classes(200ms, 340ms, 540ms, 2.3), 10s);
    twice.returns = 2;
    auto& keyed = add("keyed-1.5x-10s", classes(200ms, 340ms, 540ms, 1.5), 10s);
    keyed.is_keyed = true;
    keyed.slots = 6;
    auto& keyed_lost =
        add("keyed-third-lost-1.5x-10s", classes(200ms, 340ms, 540ms, 1.5), 10s, 1.0 / 3);
    keyed_lost.is_keyed = true;
    keyed_lost.slots = 6;
    return out;
}

auto print(const load_scenario& scenario, const way& it, std::uint64_t seeds) -> void
{
    std::vector<class_result> sums(scenario.classes.size());
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto results = admission_load{scenario, it.settings, seed}.run();
        for (std::size_t n = 0; n < sums.size(); ++n) {
            sums[n] += results[n];
        }
    }
    double value = 0;
    double most = 0;
    std::cout << "| " << it.name;
    for (std::size_t n = 0; n < sums.size(); ++n) {
        const auto& sum = sums[n];
        double weight = scenario.classes[n].value;
        value += weight *
                 (static_cast<double>(sum.in_time) + late_value * static_cast<double>(sum.late) +
                  bad_refusal_value * static_cast<double>(sum.refused_again + sum.refused_late));
        most += weight * static_cast<double>(sum.callers);
        auto percent = [&](std::uint64_t count) {
            return 100.0 * static_cast<double>(count) / static_cast<double>(sum.callers);
        };
        auto refusals = static_cast<std::int64_t>(std::max<std::uint64_t>(1, sum.refusals));
        std::cout << " | " << percent(sum.in_time) << " / " << percent(sum.late) << " / "
                  << percent(sum.refused_once + sum.wasted) << " / " << percent(sum.refused_again)
                  << " (" << std::setprecision(0) << to_ms(sum.refusal_time / refusals) << " ms)"
                  << std::setprecision(1);
    }
    std::cout << " | " << 100.0 * value / most << " |\n";
}

} // namespace

auto main(int argc, char** argv) -> int
{
    cxxopts::Options options{"cornelswitch-admission-bench",
                             "Compares rules of admission under shortage in virtual time."};
    options.add_options()("seeds", "number of seeds",
                          cxxopts::value<std::uint64_t>()->default_value("5"))(
        "scenario", "only scenarios whose name contains this",
        cxxopts::value<std::string>()->default_value(""))(
        "way", "only ways whose name contains this",
        cxxopts::value<std::string>()->default_value(""))("help", "print the options");
    try {
        auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        std::cout << std::fixed << std::setprecision(1);
        for (const auto& scenario : scenarios()) {
            if (scenario.name.find(parsed["scenario"].as<std::string>()) == std::string::npos) {
                continue;
            }
            std::cout << "\n"
                      << scenario.name << ": in time / late / refused once / refused again "
                      << "in percent (mean time until a refusal)\n\n| way";
            for (const auto& it : scenario.classes) {
                std::cout << " | " << it.name;
            }
            std::cout << " | value in percent |\n|---";
            for (std::size_t n = 0; n <= scenario.classes.size(); ++n) {
                std::cout << "|---";
            }
            std::cout << "|\n";
            for (const auto& it : ways()) {
                if (it.name.find(parsed["way"].as<std::string>()) != std::string::npos) {
                    print(scenario, it, parsed["seeds"].as<std::uint64_t>());
                }
            }
        }
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
    return 0;
}
