#include "ownership/snapshot_codec.h"

#include "config/msgpack_fields.h"
#include "core/hash.h"
#include "ownership/record_fields.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

namespace {

constexpr std::uint32_t format_version = 1;
constexpr auto step = std::string_view{"ownership-snapshot"};

} // namespace

struct snapshot_cell {
    cell_id id;
    cell_state state;
};

/// Run of consecutive slots with the same assignment. `server` is the 1-based position in
/// `snapshot_data::servers`; 0 means never assigned.
struct snapshot_run {
    std::uint32_t count{0};
    std::uint32_t server{0};
    slot_epoch epoch;
    bool released{false};
};

struct snapshot_override {
    key_hash key;
    slot_index slot;
};

struct snapshot_table {
    service_id service;
    std::uint32_t hash_slots{0};
    std::vector<snapshot_run> runs;
    std::vector<snapshot_override> overrides;
};

struct snapshot_writer {
    instance_id writer;
    boot_id boot;
    writer_window::entry entry;
};

struct snapshot_data {
    std::uint32_t version{format_version};
    log_offset end;
    std::vector<server_id> servers;
    std::vector<snapshot_cell> cells;
    std::vector<snapshot_table> tables;
    std::vector<snapshot_writer> writers;
};

static auto fields(cell_membership& it)
{
    return std::tie(it.epoch, it.members, it.yield_after_ms);
}

static auto fields(cell_claim& it)
{
    return std::tie(it.epoch, it.membership_epoch, it.claimant);
}

static auto fields(cell_state& it)
{
    return std::tie(it.zone, it.current, it.previous, it.servers, it.claim, it.lost);
}

static auto fields(snapshot_cell& it)
{
    return std::tie(it.id, it.state);
}

static auto fields(snapshot_run& it)
{
    return std::tie(it.count, it.server, it.epoch, it.released);
}

static auto fields(snapshot_override& it)
{
    return std::tie(it.key, it.slot);
}

static auto fields(snapshot_table& it)
{
    return std::tie(it.service, it.hash_slots, it.runs, it.overrides);
}

static auto fields(writer_window::entry& it)
{
    return std::tie(it.highest_sequence, it.applied_bits, it.last_offset);
}

static auto fields(snapshot_writer& it)
{
    return std::tie(it.writer, it.boot, it.entry);
}

static auto fields(snapshot_data& it)
{
    return std::tie(it.version, it.end, it.servers, it.cells, it.tables, it.writers);
}

namespace {

// 1-based positions in `snapshot_data::servers`, by index in the server table.
using snapshot_positions = std::vector<std::uint32_t>;

auto make_runs(const slot_table& table, const snapshot_positions& positions)
    -> std::vector<snapshot_run>
{
    std::vector<snapshot_run> out;
    const slot_table::entry* last = nullptr;
    for (const auto& it : table.entries()) {
        if (last != nullptr && *last == it) {
            ++out.back().count;
            continue;
        }
        auto server = it.server == server_table::none ? 0 : positions[it.server];
        out.push_back({1, server, it.epoch(), it.released != 0});
        last = &it;
    }
    return out;
}

auto make_snapshot_table(const service_id& id, const slot_table& table,
                         const snapshot_positions& positions) -> snapshot_table
{
    snapshot_table out{id, table.hash_slots(), make_runs(table, positions), {}};
    for (const auto& [key, slot] : table.overrides()) {
        out.overrides.push_back({key, slot});
    }
    return out;
}

auto is_valid(const snapshot_run& it, std::size_t servers) -> bool
{
    auto never_assigned = it.server == 0 && it.epoch == slot_epoch{} && !it.released;
    auto assigned = it.server != 0 && it.server <= servers && it.epoch.major != 0 &&
                    it.epoch.minor <= max_minor_epoch;
    return it.count != 0 && (never_assigned || assigned);
}

auto is_valid(const snapshot_table& it, std::size_t servers) -> bool
{
    if (it.hash_slots == 0 || it.hash_slots > max_hash_slots) {
        return false;
    }
    std::uint64_t size = 0;
    for (const auto& run : it.runs) {
        if (!is_valid(run, servers)) {
            return false;
        }
        size += run.count;
    }
    if (size < it.hash_slots || size > it.hash_slots + max_split_slots) {
        return false;
    }
    return std::all_of(it.overrides.begin(), it.overrides.end(), [&](const auto& entry) {
        return entry.slot.value() >= it.hash_slots && entry.slot.value() < size;
    });
}

auto is_valid(const snapshot_cell& it) -> bool
{
    const auto& servers = it.state.servers;
    return !it.state.current.members.empty() &&
           it.state.current.members.size() <= max_cell_members &&
           it.state.previous.members.size() <= max_cell_members &&
           servers.size() <= max_cell_servers && std::is_sorted(servers.begin(), servers.end());
}

auto is_valid(const snapshot_data& it) -> bool
{
    auto in_bounds = it.version == format_version && it.cells.size() <= max_cells &&
                     it.tables.size() <= max_services &&
                     it.writers.size() <= writer_window::max_writers;
    auto valid_cell = [](const auto& entry) { return is_valid(entry); };
    auto valid_table = [&it](const auto& entry) { return is_valid(entry, it.servers.size()); };
    return in_bounds && std::all_of(it.cells.begin(), it.cells.end(), valid_cell) &&
           std::all_of(it.tables.begin(), it.tables.end(), valid_table);
}

auto restore_table(const snapshot_table& data, const std::vector<std::uint32_t>& server_indexes,
                   server_table& servers) -> slot_table
{
    slot_table out;
    out.set_hash_slots(data.hash_slots);
    for (const auto& run : data.runs) {
        slot_table::entry it;
        it.major = run.epoch.major;
        it.minor = static_cast<std::uint32_t>(run.epoch.minor) & max_minor_epoch;
        it.released = run.released ? 1 : 0;
        if (run.server != 0) {
            it.server = server_indexes[run.server - 1];
            servers.at(it.server).slots += run.count;
            servers.at(it.server).unreleased += run.released ? 0 : run.count;
        }
        for (std::uint32_t n = 0; n < run.count; ++n) {
            out.restore(it);
        }
    }
    for (const auto& it : data.overrides) {
        out.restore_override(it.key, it.slot);
    }
    return out;
}

} // namespace

auto snapshot_codec::encode(const ownership_state& state) -> std::string
{
    snapshot_data data;
    data.end = state.end_;
    snapshot_positions positions;
    for (const auto& [id, index] : state.servers_.indexes()) {
        data.servers.push_back(id);
        positions.resize(std::max<std::size_t>(positions.size(), index + std::size_t{1}));
        positions[index] = static_cast<std::uint32_t>(data.servers.size());
    }
    for (const auto& [id, cell] : state.cells_) {
        data.cells.push_back({id, cell});
    }
    for (const auto& [id, table] : state.tables_) {
        data.tables.push_back(make_snapshot_table(id, table, positions));
    }
    for (const auto& [key, entry] : state.writers_.entries()) {
        data.writers.push_back({key.first, key.second, entry});
    }
    return encode_fields(data);
}

auto snapshot_codec::decode(std::string_view bytes) -> result<ownership_state>
{
    auto decoded = decode_fields<snapshot_data>(bytes, max_snapshot_bytes, step);
    if (!decoded) {
        return decoded.error();
    }
    const auto& data = decoded.value();
    if (!is_valid(data)) {
        return error{error_code::invalid_message, std::string{step}, "", "state out of bounds"};
    }
    ownership_state out;
    out.end_ = data.end;
    std::vector<std::uint32_t> server_indexes;
    for (const auto& id : data.servers) {
        server_indexes.push_back(out.servers_.find_or_add(id));
    }
    for (const auto& it : data.cells) {
        out.cells_[it.id] = it.state;
        for (const auto& server : it.state.servers) {
            out.servers_.at(out.servers_.find_or_add(server)).cell = it.id;
        }
    }
    for (const auto& it : data.tables) {
        out.tables_[it.service] = restore_table(it, server_indexes, out.servers_);
    }
    for (const auto& it : data.writers) {
        out.writers_.restore({it.writer, it.boot}, it.entry);
    }
    // Encoding the state again detects duplicate ids, unsorted lists and servers that are in two
    // cells.
    if (encode(out) != bytes) {
        return error{error_code::invalid_message, std::string{step}, "", "not canonical"};
    }
    return out;
}

auto snapshot_codec::to_chunks(std::string_view bytes, log_offset end)
    -> std::vector<snapshot_chunk>
{
    std::vector<snapshot_chunk> out;
    auto count = (bytes.size() + snapshot_chunk_bytes - 1) / snapshot_chunk_bytes;
    auto digest = hash_bytes(bytes);
    for (std::size_t n = 0; n < count; ++n) {
        auto part = bytes.substr(n * snapshot_chunk_bytes, snapshot_chunk_bytes);
        out.push_back({end, digest, static_cast<std::uint32_t>(n),
                       static_cast<std::uint32_t>(count), std::string{part}});
    }
    return out;
}

} // namespace cornelswitch
