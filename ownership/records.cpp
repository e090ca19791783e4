#include "ownership/records.h"

#include "config/msgpack_fields.h"
#include "ownership/record_fields.h"

#include <array>
#include <utility>

namespace cornelswitch {

namespace {

constexpr auto step = std::string_view{"ownership-record"};

auto in_bounds(const slot_set& slots) -> bool
{
    return slots.empty() || slots.ranges().back().last < max_hash_slots + max_split_slots;
}

template<typename entry>
auto all_slots_in_bounds(const std::vector<entry>& entries) -> bool
{
    for (const auto& it : entries) {
        if (!in_bounds(it.slots)) {
            return false;
        }
    }
    return true;
}

template<typename entry>
auto all_minors_in_bounds(const std::vector<entry>& entries) -> bool
{
    for (const auto& it : entries) {
        if (it.epoch.minor > max_minor_epoch) {
            return false;
        }
    }
    return true;
}

auto in_bounds(const cell_record& it) -> bool
{
    return !it.members.empty() && it.members.size() <= max_cell_members &&
           it.servers.size() <= max_cell_servers && it.yield_after_ms <= max_yield_after_ms;
}

auto in_bounds(const assignment_record& it) -> bool
{
    for (const auto& table : it.tables) {
        if (table.hash_slots == 0 || table.hash_slots > max_hash_slots) {
            return false;
        }
    }
    return all_slots_in_bounds(it.entries);
}

auto in_bounds(const release_record& it) -> bool
{
    return all_slots_in_bounds(it.entries) && all_minors_in_bounds(it.entries);
}

auto in_bounds(const transfer_record& it) -> bool
{
    return all_slots_in_bounds(it.entries) && all_minors_in_bounds(it.entries);
}

auto in_bounds(const snapshot_chunk& it) -> bool
{
    return it.index < it.count;
}

template<typename body>
auto in_bounds(const body&) -> bool
{
    return true;
}

template<typename body>
auto convert_body(const msgpack::object& in, record_body& out) -> bool
{
    out = in.as<body>();
    return in_bounds(std::get<body>(out));
}

template<std::size_t... index>
auto convert_body(std::size_t kind, const msgpack::object& in, record_body& out,
                  std::index_sequence<index...>) -> bool
{
    using converter = bool (*)(const msgpack::object&, record_body&);
    constexpr auto converters = std::array<converter, sizeof...(index)>{
        convert_body<std::variant_alternative_t<index, record_body>>...};
    return kind < converters.size() && converters[kind](in, out);
}

} // namespace

// Intermediate form of a decoded record: the type of the body depends on `kind`.
struct raw_record {
    std::uint32_t kind{0};
    record_header header;
    msgpack::object body;
};

static auto fields(raw_record& it)
{
    return std::tie(it.kind, it.header, it.body);
}

auto encode_record(const ownership_record& record) -> std::string
{
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> out{buf};
    out.pack_array(3);
    out.pack(static_cast<std::uint32_t>(record.body.index()));
    out.pack(record.header);
    std::visit([&out](const auto& it) { out.pack(it); }, record.body);
    return {buf.data(), buf.size()};
}

auto decode_record(std::string_view bytes) -> result<ownership_record>
{
    ownership_record out;
    auto parse = [&out](const msgpack::object& in) {
        auto raw = in.as<raw_record>();
        out.header = std::move(raw.header);
        constexpr auto kinds = std::make_index_sequence<std::variant_size_v<record_body>>{};
        return convert_body(raw.kind, raw.body, out.body, kinds);
    };
    auto parsed = parse_message(bytes, max_record_bytes, step, parse);
    if (!parsed) {
        return parsed.error();
    }
    return out;
}

} // namespace cornelswitch
