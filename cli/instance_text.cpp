#include "cli/instance_commands.h"

#include <sstream>

namespace cornelswitch {

namespace {

using rows = std::vector<std::vector<std::string>>;

auto age_text(const std::optional<std::uint64_t>& age_ms) -> std::string
{
    return age_ms ? std::to_string(*age_ms) + "ms ago" : "never";
}

auto milliseconds_text(double value) -> std::string
{
    std::ostringstream out;
    out.precision(3);
    out << value;
    return out.str();
}

auto yes_no(bool value) -> std::string
{
    return value ? "yes" : "no";
}

auto cell_text(const cell_document& cell) -> std::string
{
    auto out = "cell       " + std::to_string(cell.id.value()) + " (membership " +
               std::to_string(cell.epoch) + ", majority " + yes_no(cell.has_majority) + ")";
    for (const auto& it : cell.members) {
        out +=
            "\n  member   " + it.instance.value() + ", last response " + age_text(it.heard_age_ms);
    }
    return out + "\n";
}

auto server_table(const std::vector<server_status>& servers) -> std::string
{
    rows out{{"server", "service", "zone", "state", "term", "lease", "slots", "running", "queued",
              "limit", "grants", "straggler"}};
    for (const auto& it : servers) {
        out.push_back({it.id.value(), it.service.value(), it.zone.value(), it.state,
                       std::to_string(it.term.value()), std::to_string(it.lease_ms) + "ms",
                       std::to_string(it.slots), std::to_string(it.in_flight),
                       std::to_string(it.queued), std::to_string(it.limit),
                       it.checks_grants ? "checked" : "unchecked", yes_no(it.straggler)});
    }
    return format_table(out);
}

auto service_table(const std::vector<service_status>& services) -> std::string
{
    rows out{{"service", "slots", "unowned", "moving", "split keys"}};
    for (const auto& it : services) {
        out.push_back({it.name.value(), std::to_string(it.slots), std::to_string(it.unowned_slots),
                       std::to_string(it.moving_slots), std::to_string(it.split_keys)});
    }
    return format_table(out);
}

auto instance_table(const std::vector<instance_status>& instances) -> std::string
{
    rows out{{"instance", "zone", "state"}};
    for (const auto& it : instances) {
        out.push_back({it.id.value(), it.zone.value(), it.state});
    }
    return format_table(out);
}

} // namespace

auto status_text(const status_document& value) -> std::string
{
    std::ostringstream out;
    out << "instance   " << value.instance << " in zone " << value.zone << ", boot " << value.boot
        << '\n'
        << "state      " << value.state << ", up " << value.uptime_ms / 1000 << " s\n"
        << "config     version " << value.version << '\n'
        << "log        " << (value.log.reachable ? "reachable" : "unreachable")
        << ", last response " << age_text(value.log.age_ms) << ", ownership up to "
        << value.ownership_end << '\n';
    out << (value.cell ? cell_text(*value.cell) : std::string{"cell       none\n"});
    const auto& requests = value.requests;
    out << "requests   " << requests.in_progress << " in progress, " << requests.answered
        << " answered, " << requests.refused_not_run << " refused not-run, "
        << requests.refused_unknown << " refused unknown, " << requests.retries << " retries, "
        << requests.hedges << " hedges\n";
    for (const auto& it : value.problems) {
        out << "problem    " << it << '\n';
    }
    out << '\n' << server_table(value.servers) << '\n' << service_table(value.services) << '\n';
    out << instance_table(value.instances);
    return out.str();
}

auto owner_text(const owner_document& value) -> std::string
{
    std::ostringstream out;
    out << "slot        " << value.slot << (value.split ? " (split key)" : "") << '\n'
        << "state       " << value.state << '\n'
        << "server      " << (value.server ? value.server->value() : "none") << '\n'
        << "epoch       " << value.epoch << '\n'
        << "dispatcher  " << (value.dispatcher ? value.dispatcher->value() : "unknown") << '\n';
    return out.str();
}

auto histograms_text(const histograms_document& value) -> std::string
{
    rows out{{"quantity", "tenant", "class", "count", "mean ms", "p50 ms", "p90 ms", "p99 ms",
              "p99.9 ms"}};
    for (const auto& it : value.histograms) {
        auto mean = it.count == 0 ? 0.0 : it.sum_ms / static_cast<double>(it.count);
        out.push_back({it.quantity, it.tenant.value(), it.request_class, std::to_string(it.count),
                       milliseconds_text(mean), milliseconds_text(it.p50_ms),
                       milliseconds_text(it.p90_ms), milliseconds_text(it.p99_ms),
                       milliseconds_text(it.p999_ms)});
    }
    return format_table(out);
}

} // namespace cornelswitch
