#include "gateway/gateway.h"

#include "platform/discovery_codec.h"
#include "platform/store_names.h"

#include <algorithm>
#include <cstdlib>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Topic and consumer group whose partitions assign the coordinators, and the key prefix of the
/// services' records.
constexpr std::string_view coordinator_topic = "cornelswitch-duties";
constexpr std::string_view coordinator_group = "cornelswitch-coordinators";
constexpr std::string_view service_prefix = "service/";
/// Short enough to replace a lost coordinator before its key leases expire, and long enough to
/// survive one call without a response.
constexpr duration membership_ttl = milliseconds{1500};
constexpr duration join_interval = milliseconds{600};
constexpr duration join_timeout = milliseconds{600};
/// Interval while a service has no reachable coordinator.
constexpr duration urgent_join_interval = milliseconds{250};
/// Age of the last read of the heartbeats after which servers are health-checked directly. Two
/// missed reads do not indicate an outage yet.
constexpr duration health_check_after = milliseconds{2000};
/// A server that has turned cold must not get full load for as long as a second.
constexpr duration health_interval = milliseconds{500};
constexpr duration health_timeout = milliseconds{400};

} // namespace

auto gateway::on_operator_records(const std::vector<store_topic::change>& changes) -> void
{
    bool is_evacuation_changed = false;
    for (const auto& it : changes) {
        if (is_configuration_key(it.key) && !it.value.empty()) {
            apply_configuration(it.value);
        } else if (evacuated_zone(it.key)) {
            is_evacuation_changed = true;
        }
    }
    if (!is_evacuation_changed) {
        return;
    }
    std::set<zone_id> zones;
    for (const auto& [key, value] : replicator_.operators().records()) {
        if (auto zone = evacuated_zone(key)) {
            zones.insert(*zone);
        }
    }
    directory_.set_evacuated(std::move(zones), loop_.now());
    update_servers(loop_.now());
}

auto gateway::apply_configuration(const std::string& value) -> void
{
    auto decoded = decode_configuration(value);
    if (decoded.has_error()) {
        log_.line("configuration-malformed").text("cause", decoded.error().message);
        metrics_.count("configurations_malformed_total");
        return;
    }
    auto& next = decoded.value();
    if (configuration_ && next.version <= configuration_->content.version) {
        return;
    }
    auto active = std::make_shared<active_configuration>();
    if (next.workspaces && !api_key_digest_) {
        auto digest = keyed_digest::create();
        if (digest.has_error()) {
            // Without digests no key can be checked, so the version cannot be used.
            log_.line("configuration-unusable").text("cause", digest.error().message);
            return;
        }
        api_key_digest_ = std::move(digest.value());
    }
    log_.line("configuration")
        .number("version", static_cast<std::int64_t>(next.version))
        .number("earlier",
                configuration_ ? static_cast<std::int64_t>(configuration_->content.version) : 0)
        .number("bytes", static_cast<std::int64_t>(value.size()))
        .ms("age_ms", loop_.now() - replicator_.operators().last_read())
        .text("source", replicator_.source_of(shared_topic::operators))
        .number("routes", static_cast<std::int64_t>(next.routes.size()))
        .number("services", static_cast<std::int64_t>(next.services.size()))
        .number("workspaces",
                next.workspaces ? static_cast<std::int64_t>(next.workspaces->size()) : 0);
    if (next.workspaces) {
        active->workspaces.emplace(std::move(*next.workspaces), api_key_digest_);
        next.workspaces.reset();
    }
    active->routes = route_table{next.routes};
    active->content = std::move(next);
    configuration_ = active;
    target_selection_.clear();
    std::set<service_id> names;
    for (const auto& [name, service] : active->content.services) {
        names.insert(name);
        auto& it = runtimes_[name];
        if (it) {
            it->configure(service);
            continue;
        }
        it = std::make_unique<service_runtime>(context_, service);
        if (settings_.is_first_start) {
            it->set_first_start();
        }
        if (store_.era() != store_era{}) {
            it->on_store_era(store_.era());
        }
        if (replicator_.coordination().is_loaded() && !replicator_.coordination().awaits_copy()) {
            auto record = replicator_.coordination().records().find(it->key());
            bool is_recorded = record != replicator_.coordination().records().end();
            auto decoded_record = is_recorded ? decode_coordinator_record(record->second)
                                              : result<coordinator_record>{error{}};
            if (decoded_record.has_value()) {
                it->on_record(decoded_record.value(), replicator_.coordination().last_read());
            } else if (!it->is_record_read()) {
                it->on_record(std::nullopt, replicator_.coordination().last_read());
            }
        }
    }
    directory_.add_services(names);
    apply_assignments();
    update_servers(loop_.now());
    quotas_.configure(active->workspaces ? &active->workspaces->workspaces() : nullptr);
}

auto gateway::on_server_records(const std::vector<store_topic::change>& changes) -> void
{
    auto now = loop_.now();
    for (const auto& it : changes) {
        directory_.apply(it.key, it.value, now);
    }
    if (directory_.revision() != seen_directory_revision_) {
        update_servers(now);
    }
}

auto gateway::on_coordination_records(const std::vector<store_topic::change>& changes,
                                      time_point confirmed_at) -> void
{
    for (const auto& it : changes) {
        if (!it.key.starts_with(service_prefix)) {
            continue;
        }
        auto name = service_id{it.key.substr(service_prefix.size())};
        auto* service = runtime(name);
        auto record = decode_coordinator_record(it.value);
        if (record.has_error()) {
            log_.line("ownership-malformed")
                .text("key", it.key)
                .text("cause", record.error().message);
            continue;
        }
        if (service != nullptr) {
            service->on_record(record.value(), confirmed_at);
        }
    }
    const auto& records = replicator_.coordination().records();
    for (auto& [name, it] : runtimes_) {
        if (!it->is_record_read()) {
            // The first copy of a new era need not change the record.
            auto found = records.find(it->key());
            auto record = found == records.end() ? result<coordinator_record>{error{}}
                                                 : decode_coordinator_record(found->second);
            it->on_record(record.has_value() ? std::optional{record.value()} : std::nullopt,
                          confirmed_at);
        }
        it->on_confirmed(confirmed_at);
    }
    ownership_.on_copy_updated();
}

auto gateway::on_store_era(store_era era) -> void
{
    // Coordinators are suspended before anything of the new era is read.
    for (auto& [name, it] : runtimes_) {
        it->on_store_era(era);
    }
    ownership_.on_store_era();
    replicator_.on_store_era();
    metrics_.count("store_eras_seen_total");
}

auto gateway::apply_role() -> void
{
    bool is_coordinator =
        std::ranges::any_of(runtimes_, [](const auto& it) { return it.second->is_coordinator(); });
    if (is_coordinator == is_coordinator_) {
        return;
    }
    is_coordinator_ = is_coordinator;
    replicator_.set_coordinator(is_coordinator);
}

auto gateway::join_group() -> void
{
    auto now = loop_.now();
    if (is_joining_ || now < next_join_ || now < earliest_join_ || is_shutting_down_) {
        return;
    }
    if (!fleet_.is_member() || !replicator_.coordination().is_loaded()) {
        if (!partitions_.empty()) {
            leave_group();
        }
        return;
    }
    is_joining_ = true;
    bool is_urgent = std::ranges::any_of(
        runtimes_, [](const auto& it) { return !it.second->has_coordinator(); });
    next_join_ = now + (is_urgent ? urgent_join_interval : join_interval);
    auto ttl = std::max<duration>(membership_ttl, settings_.min_membership_ttl);
    auto member = settings_.node.value() + "|" + std::to_string(boot_.value());
    store_.call(
        store_codec::join_request(coordinator_group, member, coordinator_topic, ttl, generation_),
        join_timeout, [this, now, ttl, alive = alive_](result<http_response> answer) {
            if (!*alive) {
                return;
            }
            is_joining_ = false;
            auto membership = answer.has_value() ? store_codec::decode_join(answer.value())
                                                 : result<group_membership>{answer.error()};
            if (membership.has_error()) {
                // Without a response the roles end with the membership's time to live.
                if (loop_.now() > membership_until_ && !partitions_.empty()) {
                    log_.line("duties-lost").text("cause", membership.error().message);
                    partitions_.clear();
                    apply_assignments();
                }
                return;
            }
            membership_until_ = now + ttl;
            joined_at_ = now;
            generation_ = membership.value().generation;
            std::set<std::uint32_t> next{membership.value().partitions.begin(),
                                         membership.value().partitions.end()};
            if (next != partitions_) {
                partitions_ = std::move(next);
                log_.line("duties")
                    .number("partitions", static_cast<std::int64_t>(partitions_.size()))
                    .number("generation", static_cast<std::int64_t>(generation_));
            }
            apply_assignments();
        });
}

auto gateway::leave_group() -> void
{
    partitions_.clear();
    apply_assignments();
    auto member = settings_.node.value() + "|" + std::to_string(boot_.value());
    store_.call(store_codec::leave_request(coordinator_group, member), milliseconds{1000},
                [this, alive = alive_](const result<http_response>& answer) {
                    if (*alive && answer.has_error()) {
                        log_.line("leave-failed").text("cause", answer.error().message);
                    }
                });
}

auto gateway::apply_assignments() -> void
{
    std::uint32_t index = 0;
    for (auto& [name, it] : runtimes_) {
        it->set_assigned(partitions_.contains(index % std::max(1U, settings_.store_partitions)),
                         joined_at_);
        ++index;
    }
}

auto gateway::health_client(const server_id& server) -> unary_client*
{
    const auto* known = directory_.find(server);
    if (known == nullptr) {
        return nullptr;
    }
    auto& it = health_clients_[server];
    if (!it || it->server() != known->entry.address) {
        unary_client::options options;
        options.connect_timeout = health_timeout;
        it = std::make_unique<unary_client>(loop_, known->entry.address, options);
    }
    return it.get();
}

auto gateway::check_health(time_point now) -> void
{
    const auto& servers = std::as_const(replicator_).servers();
    if (servers.last_read() + health_check_after > now || !servers.is_loaded()) {
        health_clients_.clear();
        return;
    }
    if (now < next_health_check_) {
        return;
    }
    next_health_check_ = now + health_interval;
    for (auto& [name, it] : runtimes_) {
        for (const auto& server : it->recently_used_servers(now)) {
            auto* client = it->health_path().empty() ? nullptr : health_client(server);
            if (client == nullptr || directory_.notices().held_off_until(server, now) ||
                !it->try_take_health_check(server)) {
                continue;
            }
            http_request request;
            request.path = it->health_path();
            client->call(std::move(request), health_timeout,
                         [this, server](const result<http_response>& answer) {
                             auto cold = answer.has_value()
                                             ? decode_cold_time(answer.value().head.headers)
                                             : std::nullopt;
                             if (cold) {
                                 directory_.set_cold(server, *cold, loop_.now());
                                 update_servers(loop_.now());
                             }
                         });
        }
    }
    metrics_.count("health_checks_total");
}

} // namespace cornelswitch
