#include "gateway/peer_message.h"

#include <msgpack.hpp>

#include <array>
#include <cstring>
#include <limits>
#include <tuple>

namespace cornelswitch {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t max_message_bytes = 4 * 1024 * 1024;

using packer = msgpack::packer<msgpack::sbuffer>;

/// First key, last key, owner, incarnation, and age of the confirmation and time until free in
/// microseconds.
using packed_range =
    std::tuple<std::uint16_t, std::uint16_t, std::string, std::int64_t, std::int64_t, std::int64_t>;
/// Workspace, admitted and offered requests, share, mode.
using packed_usage = std::tuple<std::string, std::uint32_t, std::uint32_t, float, std::uint8_t>;
/// Workspace, mode, rate, admitted part, share.
using packed_allocation = std::tuple<std::string, std::uint8_t, float, float, float>;
/// Stands for a share that does not change.
constexpr float same_share = -1.0F;
constexpr auto last_quota_mode = static_cast<std::uint8_t>(quota_mode::limited);
/// Stands for the end of earlier terms when the sender does not know it.
constexpr std::int64_t unknown_end = std::numeric_limits<std::int64_t>::max();
const decltype(topic_update::records) no_records;
constexpr auto last_topic = static_cast<std::uint8_t>(shared_topic::candidates);

auto to_us(duration it) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::microseconds>(it).count();
}

auto from_us(std::int64_t us) -> duration
{
    return std::chrono::microseconds{us};
}

/// A rate in requests per second for which there is no limit.
constexpr double no_limit = -1.0;

auto pack_limit(const std::optional<request_rate>& limit) -> double
{
    return limit ? limit->per_second : no_limit;
}

auto unpack_limit(double value) -> std::optional<request_rate>
{
    return value >= 0 ? std::optional{request_rate{value}} : std::nullopt;
}

struct writer {
    packer& out;

    template<typename... types>
    auto fields(const types&... values) -> void
    {
        out.pack_array(sizeof...(values) + 1);
        out.pack(kind);
        (out.pack(values), ...);
    }
    std::uint8_t kind{0};

    auto operator()(const peer_hello& it) -> void
    {
        const auto& from = it.sender;
        fields(from.id.value(), from.zone.value(), from.address.address, from.address.port,
               from.cpu_share, it.boot.value(), it.is_candidate);
    }
    auto operator()(const admission_query& it) -> void
    {
        std::vector<std::string> excluded;
        for (const auto& server : it.excluded) {
            excluded.push_back(server.value());
        }
        std::int32_t key = it.key ? *it.key : -1;
        fields(it.service.value(), it.id.value(), key, it.work.value(), it.priority,
               it.has_large_response, to_us(it.age), to_us(it.objective_left), to_us(it.time_left),
               excluded);
    }
    auto operator()(const admission_adopted& it) -> void
    {
        fields(it.service.value(), it.id.value(), it.server.value());
    }
    auto operator()(const admission_withdrawn& it) -> void
    {
        fields(it.service.value(), it.id.value());
    }
    auto operator()(const admission_completed& it) -> void
    {
        auto notice = it.report.rate_limit.value_or(rate_limit_notice{});
        fields(it.service.value(), it.id.value(), static_cast<std::uint8_t>(it.report.outcome),
               to_us(it.report.service_time), it.report.reported_running,
               it.report.reported_waiting, it.report.slowness_percent, to_us(it.report.hold_off),
               it.report.rate_limit.has_value(), pack_limit(notice.limit), to_us(notice.age));
    }
    auto operator()(const key_not_held& it) -> void
    {
        fields(it.service.value(), it.server.value(), it.key);
    }
    auto operator()(const server_ended& it) -> void
    {
        fields(it.service.value(), it.server.value(), it.incarnation);
    }
    auto operator()(const server_leaving& it) -> void
    {
        fields(it.service.value(), it.server.value(), it.incarnation);
    }
    auto operator()(const admission_answer& it) -> void
    {
        auto limit = it.rate_limit.value_or(applied_rate_limit{{no_limit}, {}, {}});
        auto write = [&](const auto&... valuation) {
            fields(it.service.value(), it.id.value(), static_cast<std::uint8_t>(it.outcome),
                   it.server.value(), static_cast<std::uint8_t>(it.cause), to_us(it.retry_after),
                   it.queue_length, to_us(it.expected_wait), limit.limit.per_second,
                   to_us(limit.age), limit.reported_by.value(), valuation...);
        };
        if (it.outcome == admission_outcome::send) {
            write();
            return;
        }
        const auto& grounds = it.valuation;
        write(static_cast<float>(grounds.value), static_cast<float>(grounds.favoured_value),
              grounds.level, grounds.is_displaced, grounds.is_returning, grounds.has_place);
    }
    auto operator()(const admission_declined& it) -> void
    {
        fields(it.service.value(), it.id.value());
    }
    auto operator()(const rate_limit_message& it) -> void
    {
        fields(it.service.value(), it.report.server.value(), it.report.incarnation,
               it.report.limit.per_second, to_us(it.report.requested_age),
               to_us(it.report.answered_age));
    }
    auto operator()(const peer_shutting_down&) -> void { fields(); }
    auto operator()(const role_superseded& it) -> void
    {
        fields(it.service.value(), it.term.value());
    }
    auto operator()(const role_stopped& it) -> void
    {
        std::vector<packed_range> ranges;
        ranges.reserve(it.state.ranges.size());
        for (const auto& from : it.state.ranges) {
            ranges.emplace_back(from.keys.first, from.keys.last, from.owner.value(),
                                from.incarnation, to_us(from.confirmed_age), to_us(from.free_in));
        }
        fields(it.service.value(), it.term.value(), it.state.last_term.value(), ranges,
               it.state.earlier_terms_end_in ? to_us(*it.state.earlier_terms_end_in) : unknown_end);
    }
    auto operator()(const topic_update& it) -> void
    {
        auto pack = [&](const auto&... more) {
            fields(static_cast<std::uint8_t>(it.topic), it.from.value(), it.end.value(),
                   to_us(it.age), it.is_from_store, it.is_snapshot, it.is_reload,
                   it.compressed.bytes.empty() ? it.records : no_records, it.compressed.bytes,
                   it.compressed.base_key, it.compressed.base_hash, more...);
        };
        if (it.era == store_era{}) {
            pack();
        } else {
            pack(it.era.value());
        }
    }
    auto operator()(const update_subscription& it) -> void
    {
        std::vector<std::pair<std::uint8_t, std::int64_t>> topics;
        for (const auto& [topic, end] : it.topics) {
            topics.emplace_back(static_cast<std::uint8_t>(topic),
                                end ? static_cast<std::int64_t>(end->value()) : -1);
        }
        fields(topics);
    }
    auto operator()(const subscription_keepalive& it) -> void
    {
        if (it.era == store_era{}) {
            fields();
        } else {
            fields(it.era.value());
        }
    }
    auto operator()(const fleet_status& it) -> void { fields(it.instances); }
    auto operator()(const subscriber_count_report& it) -> void { fields(it.instances); }
    auto operator()(const peer_ping&) -> void { fields(); }
    auto operator()(const peer_pong&) -> void { fields(); }
    auto operator()(const progress_query&) -> void { fields(); }
    auto operator()(const progress_report& it) -> void
    {
        std::vector<std::pair<std::uint8_t, std::uint64_t>> ends;
        for (const auto& [topic, end] : it.ends) {
            ends.emplace_back(static_cast<std::uint8_t>(topic), end.value());
        }
        fields(ends);
    }
    auto operator()(const quota_report& it) -> void
    {
        std::vector<packed_usage> entries;
        entries.reserve(it.entries.size());
        for (const auto& from : it.entries) {
            entries.emplace_back(from.workspace.value(), from.admitted, from.offered,
                                 static_cast<float>(from.share),
                                 static_cast<std::uint8_t>(from.mode));
        }
        fields(it.number, it.last_allocation, entries);
    }
    auto operator()(const quota_allocation& it) -> void
    {
        std::vector<packed_allocation> entries;
        entries.reserve(it.entries.size());
        for (const auto& from : it.entries) {
            entries.emplace_back(from.workspace.value(), static_cast<std::uint8_t>(from.mode),
                                 static_cast<float>(from.rate),
                                 static_cast<float>(from.admitted_part),
                                 from.share ? static_cast<float>(*from.share) : same_share);
        }
        fields(it.number, it.report, entries);
    }
};

/// Reads the fields of one message in order; throws `msgpack::type_error` when a
/// field is missing or has another type.
class reader {
public:
    explicit reader(const msgpack::object& from) : from_{from.via.array} {}

    template<typename type>
    auto next() -> type
    {
        if (position_ >= from_.size) {
            throw msgpack::type_error{};
        }
        return from_.ptr[position_++].as<type>();
    }
    template<typename type>
    auto id() -> type
    {
        return type{next<typename type::rep_type>()};
    }
    template<typename type>
    auto enumerator(std::uint8_t last) -> type
    {
        auto value = next<std::uint8_t>();
        if (value > last) {
            throw msgpack::type_error{};
        }
        return static_cast<type>(value);
    }
    auto time() -> duration { return from_us(next<std::int64_t>()); }
    /// Whether there are more fields. Instances of earlier versions send fewer.
    auto has_more() const -> bool { return position_ < from_.size; }

private:
    const msgpack::object_array& from_;
    std::uint32_t position_{0};
};

auto read_hello(reader& from) -> peer_hello
{
    peer_hello out;
    out.sender.id = from.id<instance_id>();
    out.sender.zone = from.id<zone_id>();
    out.sender.address.address = from.next<std::string>();
    out.sender.address.port = from.next<std::uint16_t>();
    out.sender.cpu_share = from.next<double>();
    out.boot = from.id<boot_id>();
    out.is_candidate = from.next<bool>();
    return out;
}

auto read_query(reader& from) -> admission_query
{
    admission_query out;
    out.service = from.id<service_id>();
    out.id = from.id<admission_id>();
    auto key = from.next<std::int32_t>();
    if (key >= 0 && key <= 65'535) {
        out.key = static_cast<std::uint16_t>(key);
    }
    out.work = from.id<work_class>();
    out.priority = from.next<std::uint32_t>();
    out.has_large_response = from.next<bool>();
    out.age = from.time();
    out.objective_left = from.time();
    out.time_left = from.time();
    for (auto& it : from.next<std::vector<std::string>>()) {
        out.excluded.emplace_back(std::move(it));
    }
    return out;
}

auto read_adopted(reader& from) -> admission_adopted
{
    auto service = from.id<service_id>();
    auto id = from.id<admission_id>();
    return {std::move(service), id, from.id<server_id>()};
}

/// Reads a message that consists of a service and an admission id.
template<typename type>
auto read_admission(reader& from) -> type
{
    auto service = from.id<service_id>();
    return {std::move(service), from.id<admission_id>()};
}

auto read_completed(reader& from) -> admission_completed
{
    admission_completed out;
    out.service = from.id<service_id>();
    out.id = from.id<admission_id>();
    out.report.outcome =
        from.enumerator<attempt_outcome>(static_cast<std::uint8_t>(attempt_outcome::withheld));
    out.report.service_time = from.time();
    out.report.reported_running = from.next<std::uint32_t>();
    out.report.reported_waiting = from.next<std::uint32_t>();
    out.report.slowness_percent = from.next<std::uint32_t>();
    out.report.hold_off = from.time();
    if (from.has_more()) {
        bool is_known = from.next<bool>();
        rate_limit_notice notice{unpack_limit(from.next<double>()), {}};
        notice.age = from.time();
        out.report.rate_limit = is_known ? std::optional{notice} : std::nullopt;
    }
    return out;
}

auto read_not_held(reader& from) -> key_not_held
{
    auto service = from.id<service_id>();
    auto server = from.id<server_id>();
    return {std::move(service), std::move(server), from.next<std::uint16_t>()};
}

/// Reads a message that consists of a service, a server and its incarnation.
template<typename type>
auto read_process(reader& from) -> type
{
    auto service = from.id<service_id>();
    auto server = from.id<server_id>();
    return {std::move(service), std::move(server), from.next<std::int64_t>()};
}

auto read_answer(reader& from) -> admission_answer
{
    admission_answer out;
    out.service = from.id<service_id>();
    out.id = from.id<admission_id>();
    out.outcome =
        from.enumerator<admission_outcome>(static_cast<std::uint8_t>(admission_outcome::refuse));
    out.server = from.id<server_id>();
    out.cause =
        from.enumerator<refusal_cause>(static_cast<std::uint8_t>(refusal_cause::rate_limit));
    out.retry_after = from.time();
    out.queue_length = from.next<std::uint32_t>();
    out.expected_wait = from.time();
    if (from.has_more()) {
        auto limit = unpack_limit(from.next<double>());
        auto age = from.time();
        auto reporter = from.id<instance_id>();
        if (limit) {
            out.rate_limit = applied_rate_limit{*limit, age, std::move(reporter)};
        }
    }
    if (from.has_more()) {
        out.valuation.value = from.next<float>();
        out.valuation.favoured_value = from.next<float>();
        out.valuation.level = from.next<std::uint32_t>();
        out.valuation.is_displaced = from.next<bool>();
        out.valuation.is_returning = from.next<bool>();
        out.valuation.has_place = from.next<bool>();
    }
    return out;
}

auto read_rate_limit(reader& from) -> rate_limit_message
{
    rate_limit_message out;
    out.service = from.id<service_id>();
    out.report.server = from.id<server_id>();
    out.report.incarnation = from.next<std::int64_t>();
    out.report.limit.per_second = from.next<double>();
    out.report.requested_age = from.time();
    out.report.answered_age = from.time();
    return out;
}

auto read_superseded(reader& from) -> role_superseded
{
    auto service = from.id<service_id>();
    return {std::move(service), from.id<lease_term>()};
}

auto read_stopped(reader& from) -> role_stopped
{
    role_stopped out;
    out.service = from.id<service_id>();
    out.term = from.id<lease_term>();
    out.state.last_term = from.id<lease_term>();
    for (auto& [first, last, owner, incarnation, confirmed_age, free_in] :
         from.next<std::vector<packed_range>>()) {
        if (last < first) {
            throw msgpack::type_error{};
        }
        out.state.ranges.push_back({{first, last},
                                    server_id{std::move(owner)},
                                    incarnation,
                                    from_us(confirmed_age),
                                    from_us(free_in)});
    }
    auto end_in = from.has_more() ? from.next<std::int64_t>() : unknown_end;
    if (end_in != unknown_end) {
        out.state.earlier_terms_end_in = from_us(end_in);
    }
    return out;
}

auto read_era(reader& from) -> store_era
{
    return from.has_more() ? from.id<store_era>() : store_era{};
}

auto read_keepalive(reader& from) -> subscription_keepalive
{
    return {read_era(from)};
}

auto read_topic_update(reader& from) -> topic_update
{
    topic_update out;
    out.topic = from.enumerator<shared_topic>(last_topic);
    out.from = from.id<log_offset>();
    out.end = from.id<log_offset>();
    out.age = from.time();
    out.is_from_store = from.next<bool>();
    out.is_snapshot = from.next<bool>();
    out.is_reload = from.next<bool>();
    out.records = from.next<std::vector<std::pair<std::string, std::string>>>();
    out.compressed.bytes = from.next<std::string>();
    out.compressed.base_key = from.next<std::string>();
    out.compressed.base_hash = from.next<std::uint64_t>();
    out.era = read_era(from);
    return out;
}

auto read_subscription(reader& from) -> update_subscription
{
    update_subscription out;
    for (auto& [topic, end] : from.next<std::vector<std::pair<std::uint8_t, std::int64_t>>>()) {
        if (topic > last_topic) {
            throw msgpack::type_error{};
        }
        auto offset =
            end < 0 ? std::nullopt : std::optional{log_offset{static_cast<std::uint64_t>(end)}};
        out.topics.emplace_back(static_cast<shared_topic>(topic), offset);
    }
    return out;
}

auto read_status(reader& from) -> fleet_status
{
    return {from.next<std::uint32_t>()};
}

using read_function = auto(*)(reader&) -> peer_message;

template<auto read>
auto read_as(reader& from) -> peer_message
{
    return read(from);
}

template<typename type>
auto read_empty(reader&) -> peer_message
{
    return type{};
}

auto read_subscriber_count_report(reader& from) -> subscriber_count_report
{
    return {from.next<std::uint32_t>()};
}

auto read_progress(reader& from) -> progress_report
{
    progress_report out;
    for (auto& [topic, end] : from.next<std::vector<std::pair<std::uint8_t, std::uint64_t>>>()) {
        if (topic > last_topic) {
            throw msgpack::type_error{};
        }
        out.ends.emplace_back(static_cast<shared_topic>(topic), log_offset{end});
    }
    return out;
}

/// Returns a number from 0 to `last`.
auto checked(double value, double last) -> double
{
    // Written so that a value that is not a number fails too.
    if (!(value >= 0 && value <= last)) {
        throw msgpack::type_error{};
    }
    return value;
}

auto to_quota_mode(std::uint8_t value) -> quota_mode
{
    if (value > last_quota_mode) {
        throw msgpack::type_error{};
    }
    return static_cast<quota_mode>(value);
}

auto read_quota_report(reader& from) -> quota_report
{
    quota_report out;
    out.number = from.next<std::uint64_t>();
    out.last_allocation = from.next<std::uint64_t>();
    for (auto& [name, admitted, offered, share, mode] : from.next<std::vector<packed_usage>>()) {
        out.entries.push_back({workspace_id{std::move(name)}, admitted, offered,
                               checked(share, 1.0), to_quota_mode(mode)});
    }
    return out;
}

auto read_quota_allocation(reader& from) -> quota_allocation
{
    quota_allocation out;
    out.number = from.next<std::uint64_t>();
    out.report = from.next<std::uint64_t>();
    for (auto& [name, mode, rate, part, share] : from.next<std::vector<packed_allocation>>()) {
        out.entries.push_back(
            {workspace_id{std::move(name)}, to_quota_mode(mode),
             checked(rate, std::numeric_limits<float>::max()), checked(part, 1.0),
             share == same_share ? std::nullopt : std::optional{checked(share, 1.0)}});
    }
    return out;
}

/// Indexed by the message kind on the wire, which is the index of the type in `peer_message`.
constexpr std::array<read_function, std::variant_size_v<peer_message>> readers{
    read_as<read_hello>,
    read_as<read_query>,
    read_as<read_adopted>,
    read_as<read_admission<admission_withdrawn>>,
    read_as<read_completed>,
    read_as<read_not_held>,
    read_as<read_process<server_ended>>,
    read_as<read_process<server_leaving>>,
    read_as<read_answer>,
    read_as<read_admission<admission_declined>>,
    read_empty<peer_shutting_down>,
    read_as<read_superseded>,
    read_as<read_stopped>,
    read_as<read_topic_update>,
    read_as<read_subscription>,
    read_as<read_keepalive>,
    read_as<read_status>,
    read_as<read_subscriber_count_report>,
    read_empty<peer_ping>,
    read_empty<peer_pong>,
    read_empty<progress_query>,
    read_as<read_progress>,
    read_as<read_rate_limit>,
    read_as<read_quota_report>,
    read_as<read_quota_allocation>,
};

auto read_message(const msgpack::object& object) -> peer_message
{
    if (object.type != msgpack::type::ARRAY) {
        throw msgpack::type_error{};
    }
    reader from{object};
    auto kind = from.next<std::uint8_t>();
    if (kind >= readers.size()) {
        throw msgpack::type_error{};
    }
    return readers[kind](from);
}

auto read_length(std::string_view bytes) -> std::size_t
{
    std::uint32_t out = 0;
    std::memcpy(&out, bytes.data(), length_bytes);
    return out;
}

} // namespace

auto encode_peer_message(std::string& out, const peer_message& message) -> void
{
    msgpack::sbuffer body;
    packer pack{body};
    writer it{pack, static_cast<std::uint8_t>(message.index())};
    std::visit([&](const auto& value) { it(value); }, message);
    auto size = static_cast<std::uint32_t>(body.size());
    out.append(reinterpret_cast<const char*>(&size), length_bytes);
    out.append(body.data(), body.size());
}

auto decode_peer_messages(std::string& buffer) -> result<std::vector<peer_message>>
{
    std::vector<peer_message> out;
    std::size_t position = 0;
    try {
        while (buffer.size() - position >= length_bytes) {
            auto size = read_length(std::string_view{buffer}.substr(position));
            if (size > max_message_bytes) {
                return error{error_code::invalid_message, "peer-message", {}, "too large"};
            }
            if (buffer.size() - position < length_bytes + size) {
                break;
            }
            auto handle = msgpack::unpack(buffer.data() + position + length_bytes, size);
            out.push_back(read_message(handle.get()));
            position += length_bytes + size;
        }
    } catch (const std::exception& failure) {
        return error{error_code::invalid_message, "peer-message", {}, failure.what()};
    }
    buffer.erase(0, position);
    return out;
}

} // namespace cornelswitch
