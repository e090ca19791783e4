#include "cli/log_commands.h"

#include "cli/platform_session.h"
#include "config/config_record.h"
#include "config/units.h"
#include "ownership/records.h"

#include <algorithm>

namespace cornelswitch {

namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr std::size_t page_size = 200;
constexpr std::uint64_t default_count = 20;

auto epoch_text(const slot_epoch& epoch) -> std::string
{
    return std::to_string(epoch.major) + "." + std::to_string(epoch.minor);
}

/// Converts the body of each kind of record to JSON.
struct record_describer {
    auto operator()(const cell_record& it) const -> json
    {
        auto members = json::array();
        for (const auto& member : it.members) {
            members.push_back(member.instance.value());
        }
        return {{"kind", "cell"},          {"cell", it.cell.value()},
                {"replaces", it.replaces}, {"zone", it.zone.value()},
                {"members", members},      {"servers", it.servers.size()}};
    }
    auto operator()(const assignment_record& it) const -> json
    {
        auto entries = json::array();
        for (const auto& entry : it.entries) {
            entries.push_back({{"service", entry.service.value()},
                               {"slots", entry.slots.to_text()},
                               {"server", entry.server.value()},
                               {"replaces", entry.replaces}});
        }
        return {{"kind", "assignment"},
                {"entries", entries},
                {"splits", it.splits.size()},
                {"merges", it.merges.size()}};
    }
    auto operator()(const release_record& it) const -> json
    {
        auto entries = json::array();
        for (const auto& entry : it.entries) {
            entries.push_back({{"service", entry.service.value()},
                               {"slots", entry.slots.to_text()},
                               {"epoch", epoch_text(entry.epoch)}});
        }
        return {{"kind", "release"}, {"cell", it.cell.value()}, {"entries", entries}};
    }
    auto operator()(const transfer_record& it) const -> json
    {
        auto entries = json::array();
        for (const auto& entry : it.entries) {
            entries.push_back({{"service", entry.service.value()},
                               {"slots", entry.slots.to_text()},
                               {"epoch", epoch_text(entry.epoch)},
                               {"server", entry.server.value()}});
        }
        return {{"kind", "transfer"}, {"cell", it.cell.value()}, {"entries", entries}};
    }
    auto operator()(const claim_record& it) const -> json
    {
        return {{"kind", "claim"}, {"cell", it.cell.value()}};
    }
    auto operator()(const objection_record& it) const -> json
    {
        return {{"kind", "objection"}, {"cell", it.cell.value()}, {"claim", it.claim_epoch}};
    }
    auto operator()(const takeover_record& it) const -> json
    {
        return {{"kind", "takeover"},
                {"cell", it.cell.value()},
                {"claim", it.claim_epoch},
                {"stopped_by", it.stopped_by.value()}};
    }
    auto operator()(const removal_record& it) const -> json
    {
        return {
            {"kind", "removal"}, {"servers", it.servers.size()}, {"services", it.services.size()}};
    }
    auto operator()(const server_state_record& it) const -> json
    {
        return {{"kind", "server-state"},
                {"cell", it.cell.value()},
                {"server", it.server.value()},
                {"lost", it.lost}};
    }
    auto operator()(const snapshot_chunk& it) const -> json
    {
        return {{"kind", "snapshot"},
                {"end", it.end.value()},
                {"index", it.index},
                {"count", it.count}};
    }
    auto operator()(const config_change& it) const -> json
    {
        return {{"kind", "config"}, {"replaces", it.replaces.value()}, {"bytes", it.text.size()}};
    }
    auto operator()(const config_snapshot& it) const -> json
    {
        return {
            {"kind", "config-snapshot"}, {"end", it.end.value()}, {"version", it.version.value()}};
    }
};

template<typename record>
auto describe_decoded(const result<record>& decoded) -> json
{
    if (decoded.has_error()) {
        return {{"kind", "malformed"}, {"error", decoded.error().message}};
    }
    const auto& header = decoded.value().header;
    auto out = std::visit(record_describer{}, decoded.value().body);
    out["writer"] = header.writer.value();
    out["boot"] = header.boot.value();
    out["sequence"] = header.sequence.value();
    return out;
}

auto print_record(const command_context& context, const json& record) -> void
{
    auto details = record;
    auto line = std::to_string(record["offset"].get<std::uint64_t>()) + "  " +
                record["kind"].get<std::string>() + "  ";
    details.erase("offset");
    details.erase("kind");
    context.print(record, line + details.dump() + "\n");
}

/// Offset of the first record to print: `--from`, or the last `--count` records that are retained.
auto start_offset(const command_context& context, const log_page& bounds) -> log_offset
{
    if (context.has("from")) {
        return log_offset{context.arguments()["from"].as<std::uint64_t>()};
    }
    auto end = bounds.end.value();
    auto count = std::min(context.arguments()["count"].as<std::uint64_t>(), end);
    return log_offset{std::max(end - count, bounds.first.value())};
}

auto print_from(const command_context& context, blocking_log& log, log_stream stream,
                const log_page& bounds) -> exit_code
{
    auto follow = context.has("follow");
    auto wait = follow ? duration{seconds{10}} : duration::zero();
    auto at = start_offset(context, bounds);
    while (follow || at < bounds.end) {
        auto page = log.read(stream, at, page_size, wait);
        if (page.has_error()) {
            return context.fail(page.error());
        }
        for (const auto& it : page.value().records) {
            print_record(context, describe_record(stream, it));
            at = log_offset{it.offset.value() + 1};
        }
        if (page.value().records.empty() && !follow) {
            break;
        }
    }
    return exit_code::ok;
}

auto tail(const command_context& context) -> exit_code
{
    auto name = context.option_value("stream");
    auto address = parse_endpoint(context.option_value("platform"));
    if (!address || (name != "config" && name != "ownership")) {
        return context.usage_error("--platform must be IPv4:PORT, --stream config or ownership");
    }
    auto stream = name == "config" ? log_stream::config : log_stream::ownership;
    platform_session session{*address};
    auto bounds = session.log().read(stream, log_offset{}, 1, duration::zero());
    if (bounds.has_error()) {
        return context.fail(bounds.error());
    }
    return print_from(context, session.log(), stream, bounds.value());
}

auto add_tail_options(cxxopts::Options& options) -> void
{
    options.add_options()("stream", "config or ownership",
                          cxxopts::value<std::string>()->default_value("ownership"))(
        "from", "first offset to print", cxxopts::value<std::uint64_t>())(
        "count", "number of newest records to print without --from",
        cxxopts::value<std::uint64_t>()->default_value(std::to_string(default_count)))(
        "follow", "wait for further records until interrupted");
}

} // namespace

auto describe_record(log_stream stream, const log_record& record) -> json
{
    auto out = stream == log_stream::config ? describe_decoded(decode_config_record(record.data))
                                            : describe_decoded(decode_record(record.data));
    out["offset"] = record.offset.value();
    return out;
}

auto log_commands() -> std::vector<command>
{
    return {{"log tail", {}, "Print records of the log.", add_tail_options, tail}};
}

} // namespace cornelswitch
