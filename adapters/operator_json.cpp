#include "adapters/operator_json.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace nlohmann {

/// Serializes a strong id as its underlying value.
template<typename tag, typename rep>
struct adl_serializer<cornelswitch::strong_id<tag, rep>> {
    using id = cornelswitch::strong_id<tag, rep>;
    static auto to_json(json& out, const id& value) -> void { out = value.value(); }
    static auto from_json(const json& in, id& value) -> void { value = id{in.get<rep>()}; }
};

/// Serializes an absent value as null.
template<typename type>
struct adl_serializer<std::optional<type>> {
    static auto to_json(json& out, const std::optional<type>& value) -> void
    {
        out = value ? json(*value) : json(nullptr);
    }
    static auto from_json(const json& in, std::optional<type>& value) -> void
    {
        value = in.is_null() ? std::nullopt : std::optional{in.get<type>()};
    }
};

/// Serializes an epoch as `OFFSET.MINOR`, as in the header cornelswitch-epoch.
template<>
struct adl_serializer<cornelswitch::slot_epoch> {
    static auto to_json(json& out, const cornelswitch::slot_epoch& value) -> void
    {
        out = std::to_string(value.major) + "." + std::to_string(value.minor);
    }
    static auto from_json(const json& in, cornelswitch::slot_epoch& value) -> void
    {
        const auto& text = in.get_ref<const std::string&>();
        const auto* end = text.data() + text.size();
        auto major = std::from_chars(text.data(), end, value.major);
        auto has_dot = major.ec == std::errc{} && major.ptr != end && *major.ptr == '.';
        auto minor = std::from_chars(has_dot ? major.ptr + 1 : end, end, value.minor);
        if (minor.ec != std::errc{} || minor.ptr != end) {
            throw detail::other_error::create(501, "epoch must be OFFSET.MINOR", &in);
        }
    }
};

} // namespace nlohmann

namespace cornelswitch {

namespace {

using nlohmann::json;

template<typename document>
auto parse_document(std::string_view text, const char* step) -> result<document>
{
    try {
        return json::parse(text).get<document>();
    } catch (const json::exception& ex) {
        return error{error_code::invalid_message, step, "", ex.what()};
    }
}

template<typename document>
auto serialize(const document& value) -> std::string
{
    return json(value).dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(member_status, instance, heard_age_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cell_document, id, epoch, members, has_majority)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(server_status, id, service, zone, term, state, lease_ms, slots,
                                   in_flight, queued, limit, checks_grants, straggler)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(instance_status, id, zone, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(service_status, name, slots, unowned_slots, moving_slots,
                                   split_keys)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(request_counts, in_progress, answered, refused_not_run,
                                   refused_unknown, retries, hedges)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(log_status, reachable, age_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(status_document, instance, boot, zone, state, uptime_ms, version,
                                   ownership_end, log, cell, servers, instances, services, requests,
                                   problems)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(owner_document, service, key, slot, split, server, epoch,
                                   dispatcher, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(histogram_bucket, upper_ms, count)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(latency_histogram, quantity, tenant, request_class, count,
                                   sum_ms, p50_ms, p90_ms, p99_ms, p999_ms, buckets)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(histograms_document, histograms)

auto to_json_text(const status_document& value) -> std::string
{
    return serialize(value);
}

auto to_json_text(const owner_document& value) -> std::string
{
    return serialize(value);
}

auto to_json_text(const histograms_document& value) -> std::string
{
    return serialize(value);
}

auto parse_status(std::string_view text) -> result<status_document>
{
    return parse_document<status_document>(text, "status-read");
}

auto parse_owner(std::string_view text) -> result<owner_document>
{
    return parse_document<owner_document>(text, "owner-read");
}

auto parse_histograms(std::string_view text) -> result<histograms_document>
{
    return parse_document<histograms_document>(text, "histograms-read");
}

} // namespace cornelswitch
