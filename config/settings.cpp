#include "config/settings.h"

#include "config/yaml_field.h"

#include <algorithm>
#include <array>
#include <set>

namespace cornelswitch {

namespace {

struct address_field {
    std::string_view name;
    endpoint instance_addresses::*member;
};

constexpr std::array<address_field, 4> address_fields{
    address_field{"caller", &instance_addresses::caller},
    address_field{"data", &instance_addresses::data},
    address_field{"control", &instance_addresses::control},
    address_field{"operator", &instance_addresses::operations}};

constexpr auto any_address = "0.0.0.0";

auto read_count(const yaml_field& parent, std::string_view name, std::uint64_t max,
                std::uint32_t& target) -> void
{
    if (auto field = parent.child(name)) {
        std::uint64_t n = target;
        field->read_integer(1, max, n);
        target = static_cast<std::uint32_t>(n);
    }
}

auto read_memory(const yaml_field& parent, std::string_view name, std::uint64_t& target) -> void
{
    if (auto field = parent.child(name)) {
        field->read_size(std::uint64_t{1} << 10U, std::uint64_t{16} << 30U, target);
    }
}

auto read_limits(const yaml_field& field, instance_limits& out) -> void
{
    if (!field.check_map({"caller_connections", "requests", "request_body_memory",
                          "idempotency_keys", "idempotency_memory", "shutdown_timeout"})) {
        return;
    }
    read_count(field, "caller_connections", 1'000'000, out.caller_connections);
    read_count(field, "requests", 1'000'000, out.requests);
    read_memory(field, "request_body_memory", out.request_body_memory);
    read_count(field, "idempotency_keys", 10'000'000, out.idempotency_keys);
    read_memory(field, "idempotency_memory", out.idempotency_memory);
    if (auto it = field.child("shutdown_timeout")) {
        it->read_duration(std::chrono::milliseconds{100}, std::chrono::hours{1},
                          out.shutdown_timeout);
    }
}

auto read_listen(const yaml_field& field, instance_addresses& out) -> void
{
    if (!field.check_map({"caller", "data", "control", "operator"})) {
        return;
    }
    std::set<endpoint> seen;
    for (const auto& [name, member] : address_fields) {
        auto it = field.child(name, true);
        if (!it) {
            continue;
        }
        it->read_endpoint(true, out.*member);
        if ((out.*member).port != 0 && !seen.insert(out.*member).second) {
            it->report("an address and port that no other listen field has");
        }
    }
}

/// Reads the advertised addresses; each defaults to the listen address.
auto read_advertise(const yaml_field& root, settings& out) -> void
{
    out.advertise = out.listen;
    auto field = root.child("advertise");
    if (field && !field->check_map({"caller", "data", "control", "operator"})) {
        return;
    }
    for (const auto& [name, member] : address_fields) {
        auto it = field ? field->child(name) : std::nullopt;
        if (it) {
            it->read_endpoint(false, out.advertise.*member);
        } else if ((out.listen.*member).address == any_address) {
            field.value_or(root).report_found(
                "no " + std::string{name} + " address in advertise",
                "an advertised address, since the listen address is 0.0.0.0");
        }
    }
}

auto read_log(const yaml_field& field, settings& out) -> void
{
    if (!field.check_map({"level", "output"})) {
        return;
    }
    if (auto it = field.child("level")) {
        constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
        auto text = it->scalar().value_or("");
        auto found = std::find(names.begin(), names.end(), text);
        if (found == names.end()) {
            it->report("debug, info, warning or error");
        } else {
            out.lowest_level = static_cast<log_level>(found - names.begin());
        }
    }
    if (auto it = field.child("output")) {
        auto text = it->scalar().value_or("");
        if (text.empty() || text.find('\0') != std::string::npos) {
            it->report("stdout or the path of a file");
        } else {
            out.log_output = text;
        }
    }
}

auto read_document(const yaml_field& root, settings& out) -> void
{
    if (!root.check_map({"instance", "zone", "listen", "advertise", "platform", "log",
                         "entry_threads", "limits"})) {
        return;
    }
    std::string text;
    if (auto it = root.child("instance", true)) {
        it->read_name(text);
        out.instance = instance_id{text};
    }
    if (auto it = root.child("zone", true)) {
        it->read_name(text);
        out.zone = zone_id{text};
    }
    if (auto it = root.child("listen", true)) {
        read_listen(*it, out.listen);
        read_advertise(root, out);
    }
    if (auto it = root.child("platform", true)) {
        it->read_endpoint(false, out.platform);
    }
    if (auto it = root.child("log")) {
        read_log(*it, out);
    }
    if (auto it = root.child("limits")) {
        read_limits(*it, out.limits);
    }
    read_count(root, "entry_threads", 64, out.entry_threads);
}

} // namespace

auto read_settings(std::string_view text, const std::string& file) -> checked<settings>
{
    problem_list problems{file, {}};
    settings out;
    read_yaml(text, problems, [&](const yaml_field& root) { read_document(root, out); });
    if (!problems.items.empty()) {
        return std::move(problems.items);
    }
    return out;
}

auto read_settings_file(const std::string& path) -> checked<settings>
{
    auto text = read_file(path);
    if (text.has_error()) {
        return text.error();
    }
    return read_settings(text.value(), path);
}

} // namespace cornelswitch
