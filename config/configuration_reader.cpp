#include "config/configuration_reader.h"

#include "config/yaml_field.h"

#include <limits>
#include <map>

namespace cornelswitch {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t max_zones = 64;
constexpr std::size_t max_profiles = 64;
constexpr std::size_t max_services = 256;
constexpr std::size_t max_servers = 4096;
constexpr std::size_t max_out_elements = 4096;
/// Upper limit of the header cornelswitch-deadline-ms, whose values are 1 to 600000.
constexpr duration longest_deadline = seconds{600};

/// Reads an unsigned 32-bit field of a map when it is present.
auto read_u32(const yaml_field& parent, std::string_view name, std::uint32_t min, std::uint32_t max,
              std::uint32_t& target) -> void
{
    if (auto field = parent.child(name)) {
        std::uint64_t n = target;
        field->read_integer(min, max, n);
        target = static_cast<std::uint32_t>(n);
    }
}

auto read_flag(const yaml_field& parent, std::string_view name, bool& target) -> void
{
    if (auto field = parent.child(name)) {
        field->read_bool(target);
    }
}

/// Reads a required name.
template<typename id>
auto read_id(const yaml_field& parent, std::string_view name, id& target) -> void
{
    if (auto field = parent.child(name, true)) {
        std::string text;
        field->read_name(text);
        target = id{std::move(text)};
    }
}

/// Reads a document in one pass.
class document_reader {
public:
    auto read(const yaml_field& root) -> void
    {
        if (!root.check_map({"zones", "profiles", "services", "out"})) {
            return;
        }
        if (auto field = root.child("zones", true)) {
            field->each(1, max_zones, [this](const yaml_field& it) { read_zone(it); });
        }
        if (auto field = root.child("profiles", true)) {
            field->each(1, max_profiles, [this](const yaml_field& it) { read_profile(it); });
        }
        if (auto field = root.child("services")) {
            field->each(0, max_services, [this](const yaml_field& it) { read_service(it); });
        }
        if (auto field = root.child("out")) {
            read_out(*field);
        }
    }

    /// Moves out the configuration, which is complete only if no problem was reported.
    auto take() -> configuration { return std::move(configuration_); }

private:
    /// Records that `field` defines `name`, and reports `field` if another field of the same kind
    /// has defined it. An empty name stands for one that was reported already and is ignored.
    auto define(const std::string& kind, const std::string& name, const yaml_field& field) -> void
    {
        if (name.empty()) {
            return;
        }
        auto [it, is_new] = defined_.try_emplace(kind + " " + name, field.line());
        if (!is_new) {
            field.report_found('"' + name + "\", already defined in line " +
                                   std::to_string(it->second),
                               "each " + kind + " once");
        }
    }

    auto is_defined(const std::string& kind, const std::string& name) const -> bool
    {
        return defined_.contains(kind + " " + name);
    }

    /// Reports `field` if it refers to a name that the file does not define.
    auto check_reference(const std::string& kind, const std::string& name,
                         const yaml_field& field) const -> void
    {
        if (!name.empty() && !is_defined(kind, name)) {
            field.report("a " + kind + " that the file defines");
        }
    }

    auto read_zone(const yaml_field& field) -> void
    {
        std::string name;
        field.read_name(name);
        define("zone", name, field);
        configuration_.zones.emplace_back(std::move(name));
    }

    auto read_profile(const yaml_field& field) -> void
    {
        profile out;
        if (!field.check_map({"name", "default_deadline", "max_deadline", "queue_limit",
                              "warmup_start", "warmup_successes", "retry_budget_percent",
                              "hedge_budget_percent", "straggler_factor", "move_price_percent",
                              "load_bound_percent", "concurrent_moves", "yield_after"})) {
            return;
        }
        read_id(field, "name", out.name);
        define("profile", out.name.value(), field);
        read_deadlines(field, out);
        read_load_limits(field, out);
        read_yield_after(field, out);
        configuration_.profiles.push_back(std::move(out));
    }

    static auto read_deadlines(const yaml_field& field, profile& out) -> void
    {
        if (auto it = field.child("max_deadline")) {
            it->read_duration(milliseconds{1}, longest_deadline, out.max_deadline);
        }
        auto it = field.child("default_deadline");
        if (it) {
            it->read_duration(milliseconds{1}, longest_deadline, out.default_deadline);
        }
        if (out.default_deadline > out.max_deadline) {
            it.value_or(field).report_found(
                "a default deadline of " + duration_text(out.default_deadline),
                "at most the max_deadline of " + duration_text(out.max_deadline));
        }
    }

    static auto read_load_limits(const yaml_field& field, profile& out) -> void
    {
        read_u32(field, "queue_limit", 1, 100'000, out.queue_limit);
        read_u32(field, "warmup_start", 1, 10'000, out.warmup_start);
        read_u32(field, "warmup_successes", 1, 1'000'000, out.warmup_successes);
        read_u32(field, "retry_budget_percent", 0, 100, out.retry_budget_percent);
        read_u32(field, "hedge_budget_percent", 0, 100, out.hedge_budget_percent);
        read_u32(field, "move_price_percent", 0, 1'000, out.move_price_percent);
        read_u32(field, "load_bound_percent", 101, 1'000, out.load_bound_percent);
        read_u32(field, "concurrent_moves", 0, 65'536, out.concurrent_moves);
        if (auto it = field.child("straggler_factor")) {
            it->read_real(1.1, 100.0, out.straggler_factor);
        }
    }

    static auto read_yield_after(const yaml_field& field, profile& out) -> void
    {
        auto it = field.child("yield_after");
        if (!it || it->scalar() == "never") {
            return;
        }
        auto value = duration::zero();
        it->read_duration(seconds{1}, hours{24 * 30}, value);
        if (value != duration::zero()) {
            out.yield_after = value;
        }
    }

    auto read_service(const yaml_field& field) -> void
    {
        if (!field.check_map({"name", "profile", "keyed", "hash_slots", "idempotent_methods",
                              "max_request_body", "servers"})) {
            return;
        }
        service_config out;
        read_id(field, "name", out.name);
        define("service", out.name.value(), field);
        read_id(field, "profile", out.profile);
        if (auto it = field.child("profile")) {
            check_reference("profile", out.profile.value(), *it);
        }
        read_flag(field, "keyed", out.keyed);
        read_u32(field, "hash_slots", 1, 65'536, out.hash_slots);
        if (auto it = field.child("idempotent_methods")) {
            read_methods(*it, out);
        }
        if (auto it = field.child("max_request_body")) {
            it->read_size(0, std::uint64_t{1} << 30U, out.max_request_body);
        }
        if (auto it = field.child("servers", true)) {
            it->each(1, max_servers, [&](const yaml_field& e) { read_server(e, out); });
        }
        configuration_.services.push_back(std::move(out));
    }

    static auto read_methods(const yaml_field& field, service_config& out) -> void
    {
        constexpr auto allowed = "GET, HEAD, OPTIONS, PUT, DELETE or another method, in capitals";
        out.idempotent_methods.clear();
        field.each(0, 16, [&](const yaml_field& it) {
            auto text = it.scalar().value_or("");
            auto is_valid =
                !text.empty() && text.size() <= 16 &&
                text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ-") == std::string::npos;
            if (!is_valid || !out.idempotent_methods.insert(text).second) {
                it.report(is_valid ? "each method once" : allowed);
            }
        });
    }

    auto read_server(const yaml_field& field, service_config& service) -> void
    {
        if (!field.check_map(
                {"id", "zone", "address", "concurrency", "connections", "checks_grants"})) {
            return;
        }
        server_config out;
        read_id(field, "id", out.id);
        define("server", out.id.value(), field);
        read_id(field, "zone", out.zone);
        if (auto it = field.child("zone")) {
            check_reference("zone", out.zone.value(), *it);
        }
        if (auto it = field.child("address", true)) {
            it->read_endpoint(false, out.address);
            define("address", out.address.port == 0 ? "" : out.address.to_text(), *it);
        }
        read_u32(field, "concurrency", 1, 100'000, out.concurrency);
        read_u32(field, "connections", 1, 100'000, out.connections);
        if (out.connections < out.concurrency) {
            field.child("connections")
                .value_or(field)
                .report_found(std::to_string(out.connections) + " connections",
                              "at least the concurrency of " + std::to_string(out.concurrency));
        }
        read_flag(field, "checks_grants", out.checks_grants);
        service.servers.push_back(std::move(out));
    }

    auto read_out(const yaml_field& field) -> void
    {
        if (!field.check_map({"zones", "instances", "servers", "stopped_zones"})) {
            return;
        }
        read_out_of_service_set(field, "zones", "zone", configuration_.out_of_service.zones);
        read_out_of_service_set(field, "instances", "", configuration_.out_of_service.instances);
        read_out_of_service_set(field, "servers", "server", configuration_.out_of_service.servers);
        read_out_of_service_set(field, "stopped_zones", "zone",
                                configuration_.out_of_service.stopped_zones);
        for (const auto& it : configuration_.out_of_service.stopped_zones) {
            if (!configuration_.out_of_service.zones.contains(it)) {
                field.report_found('"' + it.value() + "\" only in stopped_zones",
                                   "stopped zones that are also listed in out.zones");
            }
        }
    }

    /// `kind` is the kind of definition that the elements refer to; empty for instances, which the
    /// file does not define.
    template<typename id>
    auto read_out_of_service_set(const yaml_field& parent, std::string_view name,
                                 const std::string& kind, std::set<id>& target) -> void
    {
        auto field = parent.child(name);
        if (!field) {
            return;
        }
        field->each(0, max_out_elements, [&](const yaml_field& it) {
            std::string text;
            it.read_name(text);
            if (!kind.empty()) {
                check_reference(kind, text, it);
            }
            if (!text.empty() && !target.insert(id{text}).second) {
                it.report("each element once");
            }
        });
    }

    configuration configuration_;
    /// Line number of each definition by kind and name.
    std::map<std::string, int> defined_;
};

} // namespace

auto read_configuration(std::string_view text, const std::string& file) -> checked<configuration>
{
    problem_list problems{file, {}};
    document_reader reader;
    read_yaml(text, problems, [&](const yaml_field& root) { reader.read(root); });
    if (!problems.items.empty()) {
        return std::move(problems.items);
    }
    return reader.take();
}

auto read_configuration_file(const std::string& path) -> checked<configuration>
{
    auto text = read_file(path);
    if (text.has_error()) {
        return text.error();
    }
    return read_configuration(text.value(), path);
}

} // namespace cornelswitch
