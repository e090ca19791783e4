#include "standins/execution_audit.h"

#include <algorithm>

namespace cornelswitch {

namespace {

constexpr std::size_t max_examples = 10;

auto is_idempotent(const std::string& method) -> bool
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

/// Whether two intervals of different servers overlap.
auto overlap(std::vector<execution_audit::interval> list) -> bool
{
    std::sort(list.begin(), list.end(),
              [](const auto& a, const auto& b) { return a.from_ns < b.from_ns; });
    // The interval with the latest end so far, and the one with the latest end among those of other
    // servers.
    const execution_audit::interval* first = nullptr;
    const execution_audit::interval* other = nullptr;
    for (const auto& it : list) {
        for (const auto* before : {first, other}) {
            if (before != nullptr && before->server != it.server && before->until_ns > it.from_ns) {
                return true;
            }
        }
        if (first == nullptr || it.until_ns > first->until_ns) {
            if (first != nullptr && first->server != it.server) {
                other = first;
            }
            first = &it;
        } else if (it.server != first->server &&
                   (other == nullptr || it.until_ns > other->until_ns)) {
            other = &it;
        }
    }
    return false;
}

auto count_servers(const std::vector<execution_audit::interval>& list) -> std::size_t
{
    std::set<std::string> out;
    for (const auto& it : list) {
        out.insert(it.server);
    }
    return out.size();
}

auto add_example(std::size_t& examples_left, execution_audit::findings& out, std::string text)
    -> void
{
    if (examples_left > 0) {
        --examples_left;
        out.examples.push_back(std::move(text));
    }
}

} // namespace

auto execution_audit::add(const audited_execution& it) -> void
{
    ++executions_;
    auto& request = by_request_[it.request];
    ++request.count;
    request.idempotent = is_idempotent(it.method);
    if (keyed_.contains(it.service)) {
        by_key_[{it.service, it.key}].push_back(it.when);
    }
}

auto execution_audit::evaluate() const -> findings
{
    findings out;
    out.executions = executions_;
    auto examples_left = max_examples;
    for (const auto& [name, it] : by_request_) {
        if (it.count > 1 && !it.idempotent) {
            ++out.double_executions;
            add_example(examples_left, out, "executed twice: " + name);
        }
    }
    examples_left = max_examples;
    for (const auto& name : not_run_) {
        if (by_request_.contains(name)) {
            ++out.false_not_run;
            add_example(examples_left, out, "executed but refused as not run: " + name);
        }
    }
    examples_left = max_examples;
    out.keys = by_key_.size();
    for (const auto& [key, list] : by_key_) {
        auto owners = count_servers(list);
        out.max_successive_owners = std::max<std::uint64_t>(out.max_successive_owners, owners);
        out.keys_with_several_servers += owners > 1 ? 1 : 0;
        if (owners > 1 && overlap(list)) {
            ++out.keys_with_two_owners;
            add_example(examples_left, out, "two owners of key " + key.first + "/" + key.second);
        }
    }
    examples_left = max_examples;
    std::map<std::string, std::vector<interval>> by_slot;
    for (const auto& [server, list] : holdings_) {
        for (const auto& [slot, when] : list) {
            by_slot[slot].push_back(when);
        }
    }
    for (auto& [slot, list] : by_slot) {
        if (overlap(std::move(list))) {
            ++out.slots_with_two_owners;
            add_example(examples_left, out, "two owners of slot " + slot);
        }
    }
    return out;
}

} // namespace cornelswitch
