#include "config/configuration_writer.h"

#include "config/units.h"

#include <yaml-cpp/yaml.h>

namespace cornelswitch {

namespace {

template<typename type>
auto write_field(YAML::Emitter& out, const char* name, const type& value) -> void
{
    out << YAML::Key << name << YAML::Value << value;
}

template<typename ids>
auto write_id_list(YAML::Emitter& out, const char* name, const ids& values) -> void
{
    out << YAML::Key << name << YAML::Value << YAML::Flow << YAML::BeginSeq;
    for (const auto& it : values) {
        out << it.value();
    }
    out << YAML::EndSeq;
}

auto write(YAML::Emitter& out, const profile& it) -> void
{
    out << YAML::BeginMap;
    write_field(out, "name", it.name.value());
    write_field(out, "default_deadline", duration_text(it.default_deadline));
    write_field(out, "max_deadline", duration_text(it.max_deadline));
    write_field(out, "queue_limit", it.queue_limit);
    write_field(out, "warmup_start", it.warmup_start);
    write_field(out, "warmup_successes", it.warmup_successes);
    write_field(out, "retry_budget_percent", it.retry_budget_percent);
    write_field(out, "hedge_budget_percent", it.hedge_budget_percent);
    write_field(out, "straggler_factor", it.straggler_factor);
    write_field(out, "move_price_percent", it.move_price_percent);
    write_field(out, "load_bound_percent", it.load_bound_percent);
    write_field(out, "concurrent_moves", it.concurrent_moves);
    write_field(out, "yield_after", it.yield_after ? duration_text(*it.yield_after) : "never");
    out << YAML::EndMap;
}

auto write(YAML::Emitter& out, const server_config& it) -> void
{
    out << YAML::Flow << YAML::BeginMap;
    write_field(out, "id", it.id.value());
    write_field(out, "zone", it.zone.value());
    write_field(out, "address", it.address.to_text());
    write_field(out, "concurrency", it.concurrency);
    write_field(out, "connections", it.connections);
    write_field(out, "checks_grants", it.checks_grants);
    out << YAML::EndMap;
}

template<typename type>
auto write_list(YAML::Emitter& out, const char* name, const std::vector<type>& values) -> void;

auto write(YAML::Emitter& out, const service_config& it) -> void
{
    out << YAML::BeginMap;
    write_field(out, "name", it.name.value());
    write_field(out, "profile", it.profile.value());
    write_field(out, "keyed", it.keyed);
    write_field(out, "hash_slots", it.hash_slots);
    out << YAML::Key << "idempotent_methods" << YAML::Value << YAML::Flow << YAML::BeginSeq;
    for (const auto& method : it.idempotent_methods) {
        out << method;
    }
    out << YAML::EndSeq;
    write_field(out, "max_request_body", size_text(it.max_request_body));
    write_list(out, "servers", it.servers);
    out << YAML::EndMap;
}

template<typename type>
auto write_list(YAML::Emitter& out, const char* name, const std::vector<type>& values) -> void
{
    out << YAML::Key << name << YAML::Value << YAML::BeginSeq;
    for (const auto& it : values) {
        write(out, it);
    }
    out << YAML::EndSeq;
}

} // namespace

auto write_configuration(const configuration& value) -> std::string
{
    YAML::Emitter out;
    out.SetDoublePrecision(17);
    out << YAML::BeginMap;
    write_id_list(out, "zones", value.zones);
    write_list(out, "profiles", value.profiles);
    write_list(out, "services", value.services);
    out << YAML::Key << "out" << YAML::Value << YAML::BeginMap;
    write_id_list(out, "zones", value.out_of_service.zones);
    write_id_list(out, "instances", value.out_of_service.instances);
    write_id_list(out, "servers", value.out_of_service.servers);
    write_id_list(out, "stopped_zones", value.out_of_service.stopped_zones);
    out << YAML::EndMap << YAML::EndMap;
    return std::string{out.c_str()} + "\n";
}

} // namespace cornelswitch
