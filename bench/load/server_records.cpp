#include "bench/load/server_records.h"

#include <nlohmann/json.hpp>

namespace cornelswitch {

namespace {

using nlohmann::json;

constexpr duration read_timeout = std::chrono::seconds{2};
constexpr std::size_t page_size = 10'000;
/// Large enough for the slot holdings of a server over a whole run.
constexpr std::size_t max_body_bytes = std::size_t{256} << 20U;

auto interval_of(const json& it, const char* from, const char* until, const std::string& server)
    -> execution_audit::interval
{
    return {it.at(from).get<std::int64_t>(), it.at(until).get<std::int64_t>(), server};
}

} // namespace

server_records::server_records(event_loop& loop, execution_audit& audit,
                               const std::vector<std::pair<std::string, endpoint>>& servers)
    : audit_{audit}
{
    http_client_options options;
    options.max_unary_body_bytes = max_body_bytes;
    for (const auto& [name, address] : servers) {
        auto it = std::make_unique<source>();
        it->name = name;
        it->client = std::make_unique<http_client>(loop, address, options);
        sources_.push_back(std::move(it));
    }
}

auto server_records::poll() -> void
{
    for (auto& it : sources_) {
        if (it->reads_in_progress == 0) {
            it->failed = false;
            read_executions(*it);
            read_holdings(*it);
        }
    }
}

auto server_records::idle() const -> bool
{
    for (const auto& it : sources_) {
        if (it->reads_in_progress > 0) {
            return false;
        }
    }
    return true;
}

auto server_records::failed_servers() const -> std::vector<std::string>
{
    std::vector<std::string> out;
    for (const auto& it : sources_) {
        if (it->failed) {
            out.push_back(it->name);
        }
    }
    return out;
}

auto server_records::read_executions(source& from) -> void
{
    ++from.reads_in_progress;
    http_request request;
    request.path = "/_standin/executions?from=" + std::to_string(from.next_execution) +
                   "&limit=" + std::to_string(page_size);
    from.client->call(std::move(request), read_timeout, [this, &from](unary_result it) {
        --from.reads_in_progress;
        if (it.has_error()) {
            from.failed = true;
            return;
        }
        add_executions(from, it.value().body);
    });
}

auto server_records::add_executions(source& from, const std::string& body) -> void
{
    auto page = json::parse(body);
    const auto& list = page.at("executions");
    for (const auto& it : list) {
        audit_.add({it.at("request").get<std::string>(), it.at("service").get<std::string>(),
                    it.at("key").get<std::string>(), it.at("method").get<std::string>(),
                    interval_of(it, "started_ns", "ended_ns", from.name)});
    }
    auto first = std::max(from.next_execution, page.at("first").get<std::uint64_t>());
    from.next_execution = first + list.size();
    if (from.next_execution < page.at("end").get<std::uint64_t>()) {
        read_executions(from);
    }
}

auto server_records::read_holdings(source& from) -> void
{
    ++from.reads_in_progress;
    http_request request;
    request.path = "/_standin/holdings";
    from.client->call(std::move(request), read_timeout, [this, &from](unary_result it) {
        --from.reads_in_progress;
        if (it.has_error()) {
            from.failed = true;
            return;
        }
        add_holdings(from, it.value().body);
    });
}

auto server_records::add_holdings(source& from, const std::string& body) -> void
{
    auto page = json::parse(body);
    std::vector<std::pair<std::string, execution_audit::interval>> list;
    for (const auto& it : page.at("holdings")) {
        auto slot = it.at("service").get<std::string>() + " " +
                    std::to_string(it.at("slot").get<std::uint64_t>());
        list.emplace_back(std::move(slot), interval_of(it, "from_ns", "until_ns", from.name));
    }
    audit_.set_holdings(from.name, std::move(list));
}

} // namespace cornelswitch
