#include "standins/backend_service.h"

#include "core/hash.h"
#include "standins/download_file.h"
#include "standins/json_response.h"

#include <algorithm>
#include <limits>

namespace cornelswitch {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint64_t max_jobs = 4096;
constexpr std::uint64_t max_freeze_ms = 60'000;
constexpr std::uint64_t default_download_size = 65'536;
constexpr std::size_t chunk_size = 65'536;

auto header_or(const header_list& headers, std::string_view name, std::string fallback)
    -> std::string
{
    const auto* found = find_header(headers, name);
    return found == nullptr ? std::move(fallback) : *found;
}

/// The segments of a path, without the empty one before the first slash.
auto segments(const std::string& path) -> std::vector<std::string>
{
    std::vector<std::string> out;
    std::size_t at = 1;
    while (at <= path.size()) {
        auto end = std::min(path.find('/', at), path.size());
        out.push_back(path.substr(at, end - at));
        at = end + 1;
    }
    return out;
}

auto segment(const std::vector<std::string>& path, std::size_t index) -> std::string
{
    return index < path.size() ? path[index] : std::string{};
}

auto new_boot_id(random_engine& random) -> boot_id
{
    return boot_id{(random() >> 1U) | 1U};
}

} // namespace

backend_service::backend_service(const options& options, environment environment)
    : options_{options}, environment_{std::move(environment)}, behaviour_{options.behaviour},
      random_{options.seed}, boot_{new_boot_id(random_)}, grants_{boot_}
{
}

auto backend_service::handle(call_ptr call) -> void
{
    const auto& path = call->request().path;
    if (path.starts_with("/_standin/")) {
        handle_test_control(call);
    } else if (environment_.now() < down_until_) {
        call->abort();
    } else if (path.starts_with("/_cornelswitch/")) {
        handle_control(call);
    } else {
        handle_request(call);
    }
}

auto backend_service::handle_control(const call_ptr& call) -> void
{
    auto path = request_target::parse(call->request().path).path;
    const auto& method = call->request().method;
    auto now = environment_.now();
    header_list headers{{"content-type", "application/json"}};
    if (path == "/_cornelswitch/grants" && method == "POST") {
        auto response = grants_.set(call->request().body, reported_load(), now);
        call->respond({response.status, headers, std::nullopt}, response.body);
    } else if (path == "/_cornelswitch/grants" && method == "GET") {
        call->respond({200, headers, std::nullopt}, grants_.list(reported_load(), now));
    } else if (path == "/_cornelswitch/health" && method == "GET") {
        respond_json(*call, behaviour_.health_status,
                     {{"boot", boot_.value()},
                      {"running", reported_load().running},
                      {"draining", behaviour_.draining}},
                     status_headers());
    } else if (path == "/_cornelswitch/cancel" && method == "POST") {
        cancel(call);
    } else {
        respond_error(*call, 404, "no such endpoint", status_headers());
    }
}

auto backend_service::cancel(const call_ptr& call) -> void
{
    auto request_id = request_target::parse(call->request().path).parameter("request");
    auto it = std::find_if(running_.begin(), running_.end(),
                           [&](const auto& entry) { return entry.second.id == request_id; });
    auto found = it != running_.end() && !request_id.empty();
    if (found) {
        refuse(it->second.call, 503, "canceled");
        running_.erase(it);
    }
    respond_json(*call, 200, {{"canceled", found}}, status_headers());
}

auto backend_service::handle_test_control(const call_ptr& call) -> void
{
    auto target = request_target::parse(call->request().path);
    if (target.path == "/_standin/executions") {
        auto limit = std::min<std::uint64_t>(target.number("limit", 10'000), 10'000);
        respond_json(*call, 200, executions_.page(target.number("from", 0), limit));
    } else if (target.path == "/_standin/holdings") {
        respond_json(*call, 200, grants_.holdings().to_json());
    } else if (target.path == "/_standin/behaviour") {
        change_behaviour(call);
    } else if (target.path == "/_standin/restart") {
        restart(milliseconds{std::min(target.number("absent_ms", 0), max_freeze_ms)});
        respond_json(*call, 200, json::object());
    } else if (target.path == "/_standin/cold") {
        successes_ = 0;
        respond_json(*call, 200, json::object());
    } else if (target.path == "/_standin/freeze") {
        freeze(call);
    } else if (target.path == "/_standin/state") {
        respond_json(*call, 200,
                     {{"id", options_.id.value()},
                      {"boot", boot_.value()},
                      {"running", running()},
                      {"cold_limit", cold_limit()},
                      {"executions", executions_.count()},
                      {"refusals", refusals_},
                      {"falls", crashes_},
                      {"keys", counters_.size()}});
    } else {
        respond_error(*call, 404, "no such endpoint");
    }
}

auto backend_service::change_behaviour(const call_ptr& call) -> void
{
    auto changed = behaviour_.apply(json::parse(call->request().body, nullptr, false));
    if (changed.has_error()) {
        respond_error(*call, 400, changed.error().message);
        return;
    }
    respond_json(*call, 200, json::object());
}

auto backend_service::freeze(const call_ptr& call) -> void
{
    auto ms = request_target::parse(call->request().path).number("ms", 1000);
    respond_json(*call, 200, json::object());
    // Delayed, so that the response is sent before the thread blocks.
    environment_.schedule(milliseconds{10}, [this, ms] {
        environment_.freeze(milliseconds{std::min(ms, max_freeze_ms)});
    });
}

auto backend_service::handle_request(const call_ptr& call) -> void
{
    if (refuse_early(call)) {
        return;
    }
    const auto& request = call->request();
    auto path = segments(request_target::parse(request.path).path);
    auto service = segment(path, 0);
    auto now = environment_.now();
    if (options_.checks_grants) {
        auto admitted = grants_.admit(service_id{service}, request.headers, now);
        if (admitted.has_error()) {
            refuse(call, 409, admitted.error().message);
            return;
        }
    }
    if (reject_on_overload(call)) {
        return;
    }
    execution record;
    record.service = service;
    record.key = header_or(request.headers, "cornelswitch-key", segment(path, 1));
    record.method = request.method;
    record.slot = header_or(request.headers, "cornelswitch-slot", "");
    record.epoch = header_or(request.headers, "cornelswitch-epoch", "");
    record.term = header_or(request.headers, "cornelswitch-term", "");
    record.request = header_or(request.headers, "standin-request",
                               header_or(request.headers, "cornelswitch-request-id", ""));
    record.started = now;
    start_job(call, std::move(record));
}

auto backend_service::refuse_early(const call_ptr& call) -> bool
{
    if (behaviour_.draining) {
        refuse(call, 503, "draining");
        return true;
    }
    if (random_chance(behaviour_.shed_percent)) {
        refuse(call, 503, "shedding load");
        return true;
    }
    if (counters_.size() >= options_.max_keys) {
        refuse(call, 503, "too many keys");
        return true;
    }
    if (random_chance(behaviour_.error_percent)) {
        respond_error(*call, 500, "simulated error", status_headers());
        return true;
    }
    return false;
}

auto backend_service::reject_on_overload(const call_ptr& call) -> bool
{
    auto next = running() + 1;
    auto is_cold = cold_limit() < behaviour_.concurrency;
    if (is_cold && next > cold_limit()) {
        ++crashes_;
        restart(behaviour_.restart_time);
        call->abort();
        return true;
    }
    if (next <= behaviour_.concurrency && next <= max_jobs) {
        return false;
    }
    if (behaviour_.overload == overload_reaction::slow && next <= max_jobs) {
        return false;
    }
    if (behaviour_.overload == overload_reaction::fall_over) {
        ++crashes_;
        restart(behaviour_.restart_time);
        call->abort();
        return true;
    }
    refuse(call, 503, "overloaded");
    return true;
}

auto backend_service::start_job(const call_ptr& call, execution record) -> void
{
    auto id = header_or(call->request().headers, "cornelswitch-request-id", "");
    auto deadline = environment_.now() + std::chrono::hours{1};
    if (const auto* text = find_header(call->request().headers, "cornelswitch-deadline-ms")) {
        deadline = environment_.now() +
                   milliseconds{std::min<std::uint64_t>(parse_decimal(*text).value_or(0), 600'000)};
    }
    auto number = ++last_job_;
    running_.emplace(number, job{call, std::move(record), std::move(id), deadline});
    auto time = behaviour_.service_time;
    if (running() > behaviour_.concurrency) {
        time = time * running() / std::max<std::uint32_t>(behaviour_.concurrency, 1);
    }
    environment_.schedule(time, [this, number] { finish_job(number); });
}

auto backend_service::finish_job(std::uint64_t number) -> void
{
    auto it = running_.find(number);
    if (it == running_.end()) {
        return;
    }
    auto done = std::move(it->second);
    running_.erase(it);
    auto now = environment_.now();
    // The request takes effect here, so the grant is checked again: it may have expired since the
    // request started, for example in a frozen process, and another server may own the slot now.
    if (options_.checks_grants) {
        auto admitted =
            grants_.admit(service_id{done.record.service}, done.call->request().headers, now);
        if (admitted.has_error()) {
            refuse(done.call, 409, admitted.error().message);
            return;
        }
    }
    if (now >= done.deadline) {
        refuse(done.call, 503, "deadline passed before the request took effect");
        return;
    }
    done.record.ended = now;
    executions_.add(done.record);
    ++successes_;
    send_result(done);
}

auto backend_service::send_result(const job& it) -> void
{
    const auto& request = it.call->request();
    auto path = segments(request_target::parse(request.path).path);
    if (segment(path, 1) == "files") {
        send_download(it.call, segment(path, 2));
        return;
    }
    auto name = it.record.service + "/" + it.record.key;
    auto& counter = counters_[name];
    if (request.method != "GET" && request.method != "HEAD") {
        ++counter;
    }
    json body{{"server", options_.id.value()},
              {"service", it.record.service},
              {"key", it.record.key},
              {"method", request.method},
              {"request", it.record.request},
              {"count", counter},
              {"body_hash", std::to_string(hash_bytes(request.body))}};
    respond_json(*it.call, 200, body, status_headers());
}

auto backend_service::send_download(const call_ptr& call, const std::string& name) -> void
{
    auto target = request_target::parse(call->request().path);
    auto size = std::min(target.number("size", default_download_size), download_file::max_size);
    download_file file{name, size};
    auto part = file.select(call->request().headers);
    auto headers = status_headers();
    headers.push_back({"content-type", "application/octet-stream"});
    headers.push_back({"etag", file.etag()});
    headers.push_back({"accept-ranges", "bytes"});
    auto total = std::to_string(size);
    if (part.status == 206) {
        headers.push_back({"content-range", "bytes " + std::to_string(part.from) + "-" +
                                                std::to_string(part.from + part.length - 1) + "/" +
                                                total});
    } else if (part.status == 416) {
        headers.push_back({"content-range", "bytes */" + total});
    }
    auto cut = behaviour_.cut_downloads > 0 && part.length > 1;
    if (cut) {
        --behaviour_.cut_downloads;
    }
    call->start({part.status, std::move(headers), part.length});
    auto is_head = call->request().method == "HEAD";
    send_chunks(call, is_head ? "" : file.bytes(part.from, part.length), cut);
}

auto backend_service::send_chunks(const call_ptr& call, std::string data, bool cut) -> void
{
    auto n = std::min(data.size(), chunk_size);
    if (cut) {
        call->write(std::string_view{data}.substr(0, std::min(n, data.size() / 2)));
        environment_.schedule(milliseconds{10}, [call] { call->abort(); });
        return;
    }
    if (behaviour_.chunk_pause == duration::zero()) {
        n = data.size();
    }
    if (n > 0) {
        call->write(std::string_view{data}.substr(0, n));
    }
    if (n == data.size()) {
        call->finish();
        return;
    }
    environment_.schedule(behaviour_.chunk_pause, [this, call, rest = data.substr(n)]() mutable {
        send_chunks(call, std::move(rest), false);
    });
}

auto backend_service::refuse(const call_ptr& call, int status, const std::string& reason) -> void
{
    ++refusals_;
    auto headers = status_headers();
    headers.push_back({"cornelswitch-outcome", "not-run"});
    respond_error(*call, status, reason, std::move(headers));
}

auto backend_service::restart(duration downtime) -> void
{
    for (const auto& [number, it] : running_) {
        it.call->abort();
    }
    running_.clear();
    counters_.clear();
    successes_ = 0;
    boot_ = new_boot_id(random_);
    grants_.restart(boot_, environment_.now());
    down_until_ = environment_.now() + downtime;
}

auto backend_service::status_headers() const -> header_list
{
    return {{"cornelswitch-boot", std::to_string(boot_.value())},
            {"cornelswitch-running", std::to_string(reported_load().running)}};
}

auto backend_service::reported_load() const -> server_grants::load
{
    return {behaviour_.reported_running.value_or(running()), behaviour_.draining};
}

auto backend_service::cold_limit() const -> std::uint32_t
{
    auto gained = successes_ / std::max<std::uint32_t>(behaviour_.warm_after, 1);
    auto limit = std::uint64_t{behaviour_.cold_limit} + gained;
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(limit, std::numeric_limits<std::uint32_t>::max()));
}

auto backend_service::random_chance(std::uint32_t percent) -> bool
{
    return percent > 0 && uniform_below(random_, 100) < percent;
}

} // namespace cornelswitch
