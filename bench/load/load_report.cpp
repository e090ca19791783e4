#include "bench/load/load_report.h"

#include "cli/command.h"

#include <algorithm>
#include <cstdio>

namespace cornelswitch {

namespace {

auto in_ms(duration value) -> double
{
    return std::chrono::duration<double, std::milli>{value}.count();
}

/// Value below which `percent` of the values lie; zero for an empty list.
auto percentile(std::vector<duration> list, double percent) -> duration
{
    if (list.empty()) {
        return duration::zero();
    }
    std::sort(list.begin(), list.end());
    auto index = static_cast<std::size_t>(percent / 100.0 * static_cast<double>(list.size()));
    return list[std::min(index, list.size() - 1)];
}

auto longest(const std::vector<duration>& list) -> duration
{
    return list.empty() ? duration::zero() : *std::max_element(list.begin(), list.end());
}

auto ms_text(duration value) -> std::string
{
    char out[32];
    std::snprintf(out, sizeof out, "%.1f ms", in_ms(value));
    return out;
}

auto add_violation(std::vector<std::string>& out, std::uint64_t count, const char* text) -> void
{
    if (count > 0) {
        out.push_back(std::to_string(count) + " " + text);
    }
}

} // namespace

auto load_report::violations(duration max_gap) const -> std::vector<std::string>
{
    std::vector<std::string> out;
    add_violation(out, wrong_answers, "wrong answers");
    add_violation(out, unclear_failures, "failures without outcome or retry-after");
    add_violation(out, audit.double_executions, "requests executed twice");
    add_violation(out, audit.false_not_run, "false not-run refusals");
    add_violation(out, audit.keys_with_two_owners, "keys with two owners at a time");
    add_violation(out, audit.slots_with_two_owners, "slots with two owners at a time");
    add_violation(out, keys_unserved, "keys unserved at the end");
    if (answered == 0) {
        out.emplace_back("no request was answered");
    }
    if (max_gap > duration::zero() && longest(gaps) > max_gap) {
        out.push_back("a key was not served for " + ms_text(longest(gaps)) + ", allowed " +
                      ms_text(max_gap));
    }
    return out;
}

auto to_json(const load_report& it, duration max_gap) -> nlohmann::json
{
    return {{"sent", it.sent},
            {"probes", it.probes},
            {"not_sent", it.not_sent},
            {"answered", it.answered},
            {"refused_not_run", it.refused_not_run},
            {"refused_unknown", it.refused_unknown},
            {"connection_not_run", it.connection_not_run},
            {"connection_unknown", it.connection_unknown},
            {"wrong_answers", it.wrong_answers},
            {"unclear_failures", it.unclear_failures},
            {"refusals_by_step", it.refusals_by_step},
            {"p50_ms", in_ms(percentile(it.latencies, 50))},
            {"p99_ms", in_ms(percentile(it.latencies, 99))},
            {"p999_ms", in_ms(percentile(it.latencies, 99.9))},
            {"keys_interrupted", it.gaps.size()},
            {"gap_p50_ms", in_ms(percentile(it.gaps, 50))},
            {"gap_max_ms", in_ms(longest(it.gaps))},
            {"keys_unserved", it.keys_unserved},
            {"executions", it.audit.executions},
            {"double_executions", it.audit.double_executions},
            {"false_not_run", it.audit.false_not_run},
            {"keys", it.audit.keys},
            {"keys_moved", it.audit.keys_with_several_servers},
            {"most_owners_in_turn", it.audit.max_successive_owners},
            {"keys_with_two_owners", it.audit.keys_with_two_owners},
            {"slots_with_two_owners", it.audit.slots_with_two_owners},
            {"silent_servers", it.failed_servers},
            {"examples", it.examples},
            {"audit_examples", it.audit.examples},
            {"violations", it.violations(max_gap)}};
}

auto to_text(const load_report& it, duration max_gap) -> std::string
{
    auto number = [](std::uint64_t n) { return std::to_string(n); };
    std::vector<std::vector<std::string>> rows{
        {"requests sent", number(it.sent) + " (" + number(it.probes) + " for failed keys)"},
        {"answers, checked", number(it.answered)},
        {"refused, not-run", number(it.refused_not_run)},
        {"refused, unknown", number(it.refused_unknown)},
        {"connection to instance failed, not sent", number(it.connection_not_run)},
        {"connection to instance failed, unknown", number(it.connection_unknown)},
        {"due but not sent (too many in progress)", number(it.not_sent)},
        {"wrong answers", number(it.wrong_answers)},
        {"failures without outcome", number(it.unclear_failures)},
        {"answer time p50 / p99 / p99.9", ms_text(percentile(it.latencies, 50)) + " / " +
                                              ms_text(percentile(it.latencies, 99)) + " / " +
                                              ms_text(percentile(it.latencies, 99.9))},
        {"keys interrupted", number(it.gaps.size())},
        {"time until served again, median / longest",
         ms_text(percentile(it.gaps, 50)) + " / " + ms_text(longest(it.gaps))},
        {"keys unserved at the end", number(it.keys_unserved)},
        {"executions recorded", number(it.audit.executions)},
        {"double executions", number(it.audit.double_executions)},
        {"false not-run refusals", number(it.audit.false_not_run)},
        {"keys seen / moved / most successive owners",
         number(it.audit.keys) + " / " + number(it.audit.keys_with_several_servers) + " / " +
             number(it.audit.max_successive_owners)},
        {"keys with two owners at a time", number(it.audit.keys_with_two_owners)},
        {"slots with two owners at a time", number(it.audit.slots_with_two_owners)}};
    for (const auto& [step, count] : it.refusals_by_step) {
        rows.push_back({"  refused at " + step, number(count)});
    }
    for (const auto& name : it.failed_servers) {
        rows.push_back({"  records end early (server unreachable)", name});
    }
    auto out = format_table(rows);
    for (const auto& list : {it.examples, it.audit.examples}) {
        for (const auto& example : list) {
            out += "  " + example + "\n";
        }
    }
    auto violations = it.violations(max_gap);
    for (const auto& violation : violations) {
        out += "VIOLATION: " + violation + "\n";
    }
    return out + (violations.empty() ? "every guarantee held\n" : "");
}

} // namespace cornelswitch
