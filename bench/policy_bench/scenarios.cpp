#include "bench/policy_bench/scenarios.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <map>
#include <sstream>

namespace cornelswitch::bench {

using namespace std::chrono_literals;

namespace {

constexpr time_point start{1s};
// All schedulers start with a warm-up; measurements begin after it.
constexpr duration warm_up = 2s;
constexpr std::uint32_t keyed_service = 0;
constexpr std::uint32_t non_idempotent_service = 1;
constexpr std::uint32_t download_service = 2;

auto deployments() -> std::vector<deployment>
{
    return {hengyu(), mwangaza()};
}

auto with_profile(deployment input, const profile& policy) -> deployment
{
    input.policy = policy;
    return input;
}

auto name_of(const deployment& input, const policy_variant& variant) -> std::string
{
    return input.name + ", " + variant.name;
}

auto name_of(const deployment& input) -> std::string
{
    return input.name + ", " + input.policy.name.value();
}

auto format(double value, int digits = 1) -> std::string
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

auto add_run(scenario_result& to, const simulation& run, const std::string& name,
             time_window window, const deployment& input) -> const run_row&
{
    for (auto& it : latency_rows(run, name, window, input.caller_delay)) {
        to.latencies.push_back(std::move(it));
    }
    to.runs.push_back(summarize(run, name, window));
    return to.runs.back();
}

auto add_violation_check(scenario_result& to, const run_row& run) -> void
{
    to.checks.push_back(
        {run.run + ": false not-run refusals, double executions, requests without a result",
         static_cast<double>(run.violations), 0});
}

auto download_p99(const simulation& run, time_window window) -> double
{
    auto values = latencies(run, download_service, window);
    return percentile(values, 0.99);
}

/// p99 latency of the downloads in each `chart_interval` of the window.
auto p99_over_time(const simulation& run, const std::string& name, time_window window) -> chart_line
{
    chart_line out{name, {}};
    for (auto at = window.from; at + chart_interval <= window.to; at += chart_interval) {
        out.p99.push_back(download_p99(run, {at, at + chart_interval}));
    }
    return out;
}

auto central_queue_note(const deployment& input, std::uint32_t service, double load,
                        std::size_t servers, std::uint64_t seed) -> std::string
{
    const auto& workload = input.services[service];
    auto values = central_queue(workload, load, servers,
                                4 * input.local_delay + 2 * input.caller_delay, seed);
    auto p50 = percentile(values, 0.5);
    auto p99 = percentile(values, 0.99);
    auto p999 = percentile(values, 0.999);
    return "Lower bound, one central queue for " + input.name + " " + workload.config.name.value() +
           " on " + std::to_string(servers) + " servers: p50 " + format(p50) + " ms, p99 " +
           format(p99) + " ms, p99.9 " + format(p999) + " ms.";
}

} // namespace

auto policy_variants() -> std::vector<policy_variant>
{
    return {{"cornelswitch", false, {}},
            {"independent random", true, [] { return server_choice_hook{choose_random}; }},
            {"independent round robin", true, [] { return make_round_robin(); }},
            {"independent least outstanding", true,
             [] { return server_choice_hook{choose_least_outstanding}; }}};
}

auto all_scenarios() -> std::vector<scenario>
{
    return {{"steady", run_steady},           {"hot-keys", run_hot_keys},
            {"slow-server", run_slow_server}, {"cold-start", run_cold_start},
            {"zone-out", run_zone_out},       {"instance-replaced", run_instance_replaced},
            {"server-lost", run_server_lost}, {"overload", run_overload}};
}

auto run_steady(std::uint64_t seed) -> scenario_result
{
    scenario_result out;
    out.name = "steady";
    out.description = "60% load on all services, no fault.";
    time_window window{start + warm_up, start + 10s};
    for (const auto& input : deployments()) {
        for (const auto& variant : policy_variants()) {
            simulation_options options;
            options.seed = seed;
            simulation run{input, variant, options};
            run.run_for(10s);
            run.finish();
            const auto& row = add_run(out, run, name_of(input, variant), window, input);
            if (!variant.independent) {
                add_violation_check(out, row);
            }
        }
        for (auto service : {non_idempotent_service, download_service}) {
            auto servers = input.services[service].config.servers.size();
            out.notes.push_back(central_queue_note(input, service, 0.6, servers, seed));
        }
    }
    return out;
}

auto run_hot_keys(std::uint64_t seed) -> scenario_result
{
    scenario_result out;
    out.name = "hot-keys";
    out.description = "50% load on the keyed service; the 28 hottest keys change every 5 s.";
    time_window window{start + warm_up, start + 25s};
    for (const auto& base : deployments()) {
        std::map<std::string, run_row> rows;
        for (const auto& policy : {churn_averse(), tail_averse()}) {
            auto input = with_profile(base, policy);
            simulation_options options;
            options.seed = seed;
            options.load = 0.5;
            options.services = {input.services[keyed_service].config.name.value()};
            simulation run{input, policy_variants().front(), options};
            for (auto at : {5s, 10s, 15s, 20s}) {
                run.events().at(start + at, [&run] { run.change_hot_keys(); });
            }
            run.run_for(25s);
            run.finish();
            rows[policy.name.value()] = add_run(out, run, name_of(input), window, input);
            add_violation_check(out, out.runs.back());
        }
        const auto& churn = rows["churn-averse"];
        const auto& tail = rows["tail-averse"];
        out.checks.push_back({base.name + ": moves, churn-averse against tail-averse",
                              static_cast<double>(churn.moves),
                              static_cast<double>(tail.moves) - 1});
        out.checks.push_back({base.name + ": unavailable key-seconds, churn- against tail-averse",
                              churn.unavailable_key_seconds, tail.unavailable_key_seconds - 1e-6});
    }
    return out;
}

auto run_slow_server(std::uint64_t seed) -> scenario_result
{
    scenario_result out;
    out.name = "slow-server";
    out.description =
        "One download server is 10 times slower for 8 s, three times with a different "
        "server; load reports to entries do not arrive. 60% load on downloads.";
    out.fault_from = 10s;
    out.fault_to = 18s;
    constexpr int faults = 3;
    constexpr duration period = 15s;
    time_window steady{start + 4s, start + out.fault_from, period, faults};
    time_window slow{start + out.fault_from, start + out.fault_to, period, faults};
    for (const auto& base : deployments()) {
        std::map<std::string, double> p99;
        auto measure = [&](const deployment& input, const policy_variant& variant,
                           const std::string& name) {
            simulation_options options;
            options.seed = seed;
            options.report_delay = 500ms;
            options.services = {input.services[download_service].config.name.value()};
            simulation run{input, variant, options};
            for (auto n = 0; n < faults; ++n) {
                auto& server = run.server(download_service, static_cast<std::uint32_t>(n));
                run.events().at(slow.from + n * period, [&server] { server.slow_down(10); });
                run.events().at(slow.to + n * period, [&server] { server.slow_down(1); });
            }
            run.run_for(faults * period + 5s);
            run.finish();
            add_run(out, run, name, slow, input);
            auto before = download_p99(run, steady);
            auto during = download_p99(run, slow);
            out.notes.push_back(name + ": p99 at the entry " + format(before) + " ms before and " +
                                format(during) + " ms during the fault.");
            if (base.name == "hengyu") {
                out.chart.push_back(p99_over_time(run, name, {start, start + 22s}));
            }
            return during / before;
        };
        for (const auto& policy : {churn_averse(), tail_averse()}) {
            auto input = with_profile(base, policy);
            auto ratio = measure(input, policy_variants().front(), name_of(input));
            add_violation_check(out, out.runs.back());
            out.checks.push_back(
                {name_of(input) + ": p99 during the fault relative to steady", ratio, 1.5});
            p99[policy.name.value()] = out.latencies.back().p99;
            auto& row = out.latencies;
            // The run has added two rows: interactive first, then bulk.
            p99[policy.name.value()] = row[row.size() - 2].p99;
        }
        for (std::size_t n = 1; n < policy_variants().size(); ++n) {
            measure(base, policy_variants()[n], name_of(base, policy_variants()[n]));
        }
        out.checks.push_back(
            {base.name + ": p99 during the fault, tail-averse against churn-averse",
             p99["tail-averse"], p99["churn-averse"]});
        auto servers = base.services[download_service].config.servers.size();
        out.notes.push_back(central_queue_note(base, download_service, 0.6, servers - 1, seed));
    }
    return out;
}

auto run_cold_start(std::uint64_t seed) -> scenario_result
{
    scenario_result out;
    out.name = "cold-start";
    out.description =
        "A keyed server restarts cold at 70% load. It falls over (crashes) when it gets more "
        "requests at once than it can run while cold.";
    time_window window{start + 4s, start + 12s};
    for (const auto& input : deployments()) {
        // One baseline stands for all: they differ only in the choice of server, and a keyed
        // request has no choice.
        for (const auto& variant : {policy_variants()[0], policy_variants()[1]}) {
            simulation_options options;
            options.seed = seed;
            options.load = 0.7;
            options.services = {input.services[keyed_service].config.name.value()};
            simulation run{input, variant, options};
            run.run_for(4s);
            auto before = run.metrics(keyed_service, 0).over_limit;
            run.server(keyed_service, 0).restart_cold();
            run.server(keyed_service, 0).reset_peak();
            run.run_for(8s);
            run.finish();
            auto name = name_of(input, variant);
            const auto& row = add_run(out, run, name, window, input);
            auto over = run.metrics(keyed_service, 0).over_limit - before;
            auto crashes = run.server(keyed_service, 0).crashes();
            auto limit = input.services[keyed_service].config.servers.front().concurrency;
            out.notes.push_back(
                name + ": peak in flight " + std::to_string(run.server(keyed_service, 0).peak()) +
                " (concurrency " + std::to_string(limit) + "), " + std::to_string(over) +
                " starts above the warm-up limit, crashed " + std::to_string(crashes) + " times.");
            if (!variant.independent) {
                add_violation_check(out, row);
                out.checks.push_back(
                    {name + ": starts above the warm-up limit", static_cast<double>(over), 0});
                out.checks.push_back(
                    {name + ": crashes of the cold server", static_cast<double>(crashes), 0});
            }
        }
    }
    return out;
}

auto run_zone_out(std::uint64_t seed) -> scenario_result
{
    scenario_result out;
    out.name = "zone-out";
    out.description = "A zone is taken out after 4 s and returns after 12 s. 50% load.";
    time_window window{start + 4s, start + 20s};
    for (const auto& input : deployments()) {
        simulation_options options;
        options.seed = seed;
        options.load = 0.5;
        simulation run{input, policy_variants().front(), options};
        run.run_for(4s);
        run.zone_out(0);
        run.run_for(8s);
        double last = 0;
        for (std::uint32_t service = 0; service < input.services.size(); ++service) {
            for (std::uint32_t n = 0; n < input.services[service].config.servers.size(); ++n) {
                if (run.zone_of(service, n) == 0) {
                    auto after = run.metrics(service, n).last_start - (start + 4s);
                    last = std::max(last, std::chrono::duration<double>(after).count());
                }
            }
        }
        run.zone_in(0);
        run.run_for(8s);
        run.finish();
        auto name = name_of(input);
        const auto& row = add_run(out, run, name, window, input);
        add_violation_check(out, row);
        out.checks.push_back(
            {name + ": last new request in the zone, s after it was taken out", last, 3});
        out.checks.push_back({name + ": requests cut off",
                              static_cast<double>(row.refused_unknown + row.entry_lost), 0});
        out.notes.push_back(name + ": max/mean of the true load at the end " +
                            format(run.table().true_imbalance(), 2) + ".");
    }
    return out;
}

auto run_instance_replaced(std::uint64_t seed) -> scenario_result
{
    scenario_result out;
    out.name = "instance-replaced";
    out.description = "An instance is replaced gracefully after 4 s, another is lost after 8 s. "
                      "60% load.";
    time_window window{start + 4s, start + 12s};
    for (const auto& input : deployments()) {
        simulation_options options;
        options.seed = seed;
        simulation run{input, policy_variants().front(), options};
        run.run_for(4s);
        run.hand_over_instance(1);
        run.run_for(4s);
        double cut_off = 0;
        for (const auto& it : run.records()) {
            cut_off += it.result == request_result::unknown || it.result == request_result::not_run
                           ? 1
                           : 0;
        }
        auto last = std::chrono::duration<double>(run.last_send_of(1) - (start + 4s)).count();
        run.kill_instance(2);
        run.run_for(4s);
        run.finish();
        auto name = name_of(input);
        const auto& row = add_run(out, run, name, window, input);
        add_violation_check(out, row);
        out.checks.push_back({name + ": requests cut off by the graceful replacement", cut_off, 0});
        out.checks.push_back(
            {name + ": last new request through the instance, s after it was taken out", last, 3});
        double over = 0;
        for (std::uint32_t service = 0; service < input.services.size(); ++service) {
            for (std::uint32_t n = 0; n < input.services[service].config.servers.size(); ++n) {
                over += static_cast<double>(run.metrics(service, n).over_limit);
            }
        }
        out.checks.push_back({name + ": starts above the limits", over, 0});
    }
    return out;
}

auto run_server_lost(std::uint64_t seed) -> scenario_result
{
    scenario_result out;
    out.name = "server-lost";
    out.description = "A keyed server stops answering after 4 s. 50% load.";
    time_window window{start + 4s, start + 8s};
    for (const auto& input : deployments()) {
        simulation_options options;
        options.seed = seed;
        options.load = 0.5;
        options.services = {input.services[keyed_service].config.name.value()};
        simulation run{input, policy_variants().front(), options};
        run.run_for(4s);
        std::vector<bool> lost_slots;
        for (std::uint32_t n = 0; n < input.services[keyed_service].config.hash_slots; ++n) {
            lost_slots.push_back(run.table().owner_of(n) == 1);
        }
        run.freeze_server(keyed_service, 1);
        run.run_for(6s);
        run.finish();
        std::map<std::uint32_t, duration> served;
        for (const auto& it : run.records()) {
            auto slot = run.table().slot_of(it.key);
            if (it.result != request_result::success || slot >= lost_slots.size() ||
                !lost_slots[slot]) {
                continue;
            }
            auto done = it.arrival + it.latency - (start + 4s);
            auto since = it.arrival - (start + 4s);
            // Only requests that arrived while the slot had no owner show when it was served again.
            // The failure is detected after 200 ms (`detection_time`); a success before that is a
            // response of the lost server. The slot gets its new owner after 806 ms at the earliest
            // (detection and grant TTL with drift), so requests that arrived within the first
            // 800 ms found no owner.
            if (done > 200ms && since < 800ms) {
                auto [at, added] = served.emplace(slot, done);
                at->second = std::min(at->second, done);
            }
        }
        double longest = 0;
        for (const auto& [slot, at] : served) {
            longest = std::max(longest, std::chrono::duration<double>(at).count());
        }
        auto name = name_of(input);
        const auto& row = add_run(out, run, name, window, input);
        add_violation_check(out, row);
        out.checks.push_back({name + ": slots of the lost server that were served again",
                              static_cast<double>(served.size()), 1, true});
        out.checks.push_back({name + ": lost key served again, s", longest, 1});
        out.notes.push_back("Lower bound for " + input.name +
                            ": detection 0.200 s and grant TTL with drift 0.606 s, 0.806 s.");
    }
    return out;
}

auto run_overload(std::uint64_t seed) -> scenario_result
{
    scenario_result out;
    out.name = "overload";
    out.description = "150% load on all services, deadline 500 ms.";
    time_window window{start + 2500ms, start + 5500ms};
    for (const auto& input : deployments()) {
        for (const auto& variant : policy_variants()) {
            simulation_options options;
            options.seed = seed;
            options.load = 1.5;
            options.deadline = 500ms;
            simulation run{input, variant, options};
            run.run_for(6s);
            run.finish();
            auto name = name_of(input, variant);
            const auto& row = add_run(out, run, name, window, input);
            std::array<double, 3> completed{};
            for (const auto& it : run.records()) {
                auto done = it.arrival + it.latency;
                if (it.result == request_result::success && done >= window.from &&
                    done < window.to) {
                    ++completed[it.service];
                }
            }
            auto seconds = std::chrono::duration<double>(window.to - window.from).count();
            for (auto service : {keyed_service, non_idempotent_service, download_service}) {
                auto capacity = input.services[service].capacity();
                // Keyed requests cannot go to another server than the owner, so the load shares of
                // the owners limit the goodput.
                auto attainable =
                    service == keyed_service ? 1.5 * run.table().attainable_share(1.5) : 1.0;
                auto share = 100 * completed[service] / (capacity * attainable * seconds);
                auto label = name + ", " + input.services[service].config.name.value();
                out.notes.push_back(label + ": goodput " + format(share) + "% of capacity.");
                if (!variant.independent) {
                    out.checks.push_back(
                        {label + ": goodput at overload, % of capacity", share, 95, true});
                }
            }
            if (!variant.independent) {
                add_violation_check(out, row);
            }
        }
    }
    return out;
}

} // namespace cornelswitch::bench
