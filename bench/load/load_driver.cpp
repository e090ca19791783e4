#include "bench/load/load_driver.h"

#include "core/hash.h"
#include "standins/download_file.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cornelswitch {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration poll_interval = milliseconds{2};
constexpr duration record_interval = milliseconds{250};
constexpr duration caller_backoff = milliseconds{500};
/// An answer that takes longer than this counts as an interruption of its key.
constexpr duration interruption_threshold = milliseconds{200};
constexpr std::size_t connections_per_caller = 256;
constexpr duration probe_interval = milliseconds{50};
/// Maximum number of keys that are probed at the same time, to limit the additional load.
constexpr std::size_t max_probed_keys = 64;
/// A key counts as unserved at the end of the run only if it has failed for this long.
constexpr duration unserved_after = seconds{1};
constexpr std::size_t max_examples = 10;
constexpr std::uint64_t max_download_bytes = 20'000;

auto json_text(const json& body, const char* name) -> std::string
{
    auto it = body.find(name);
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

} // namespace

load_driver::load_driver(event_loop& loop, load_options options)
    : loop_{loop}, options_{std::move(options)}, random_{options_.seed}, records_{loop, audit_,
                                                                                  options_.servers}
{
    audit_.add_keyed_service(options_.keyed_service);
    http_client_options client;
    client.max_connections = connections_per_caller;
    for (const auto& it : options_.callers) {
        callers_.push_back({std::make_unique<http_client>(loop, it, client)});
    }
}

auto load_driver::run() -> load_report
{
    started_ = loop_.now();
    // Stand-in servers keep their records across runs, so each run needs unique request ids.
    id_prefix_ = "r" + std::to_string(started_.time_since_epoch() / milliseconds{1}) + "-";
    auto end = started_ + options_.time;
    stop_probes_at_ = end + unserved_after;
    auto next_records = started_;
    while (loop_.now() < end) {
        send_due();
        if (loop_.now() >= next_records) {
            records_.poll();
            next_records = loop_.now() + record_interval;
        }
        loop_.run_once(poll_interval);
    }
    auto answer_deadline = loop_.now() + milliseconds{options_.deadline_ms} + seconds{2};
    while ((in_flight_ > 0 || probed_keys_ > 0 || !records_.idle()) &&
           loop_.now() < answer_deadline) {
        loop_.run_once(poll_interval);
    }
    records_.poll();
    while (!records_.idle()) {
        loop_.run_once(poll_interval);
    }
    count_unserved(stop_probes_at_);
    report_.failed_servers = records_.failed_servers();
    report_.audit = audit_.evaluate();
    return std::move(report_);
}

auto load_driver::send_due() -> void
{
    auto elapsed = std::chrono::duration<double>{loop_.now() - started_}.count();
    auto target = static_cast<std::uint64_t>(elapsed * options_.rate);
    for (; due_ < target; ++due_) {
        if (in_flight_ >= max_in_flight) {
            ++report_.not_sent;
            continue;
        }
        send(make_request());
    }
}

auto load_driver::make_request() -> sent_request
{
    sent_request out;
    out.id = id_prefix_ + std::to_string(due_);
    out.at = loop_.now();
    out.caller = next_caller();
    out.method = "GET";
    auto is_download = !options_.download_service.empty() &&
                       uniform_below(random_, 100) < options_.download_percent;
    if (is_download || options_.keyed_service.empty()) {
        out.service = options_.download_service;
        out.key = "file" + std::to_string(uniform_below(random_, options_.keys));
        out.download_size = 1 + uniform_below(random_, max_download_bytes);
        return out;
    }
    out.service = options_.keyed_service;
    out.key = "key" + std::to_string(uniform_below(random_, options_.keys));
    if (uniform_below(random_, 100) < options_.write_percent) {
        out.method = "POST";
        out.body = "body of " + out.id;
    }
    return out;
}

auto load_driver::probe(const std::string& key) -> void
{
    auto is_failing = first_failure_at_.contains(key);
    if (!is_failing || loop_.now() >= stop_probes_at_) {
        --probed_keys_;
        return;
    }
    sent_request out;
    out.id = id_prefix_ + "probe" + std::to_string(report_.probes++);
    out.at = loop_.now();
    out.caller = next_caller();
    out.method = "GET";
    out.service = options_.keyed_service;
    out.key = key;
    out.is_probe = true;
    send(std::move(out));
}

auto load_driver::count_unserved(time_point end) -> void
{
    for (const auto& [key, since] : first_failure_at_) {
        if (end - since >= unserved_after) {
            ++report_.keys_unserved;
            report_.gaps.push_back(end - since);
        }
    }
}

auto load_driver::next_caller() -> std::size_t
{
    for (std::size_t n = 0; n < callers_.size(); ++n) {
        last_caller_ = (last_caller_ + 1) % callers_.size();
        if (callers_[last_caller_].usable_from <= loop_.now()) {
            return last_caller_;
        }
    }
    return last_caller_;
}

auto load_driver::send(sent_request it) -> void
{
    http_request request;
    request.method = it.method;
    request.path = "/" + it.service + "/" + it.key;
    if (it.download_size > 0) {
        request.path =
            "/" + it.service + "/files/" + it.key + "?size=" + std::to_string(it.download_size);
    }
    request.headers = {{"standin-request", it.id},
                       {"cornelswitch-deadline-ms", std::to_string(options_.deadline_ms)}};
    request.body = it.body;
    ++report_.sent;
    ++in_flight_;
    auto& client = *callers_[it.caller].client;
    client.call(std::move(request), milliseconds{options_.deadline_ms} + seconds{1},
                [this, it = std::move(it)](const unary_result& answer) {
                    --in_flight_;
                    on_answer(it, answer);
                    if (it.is_probe) {
                        loop_.schedule(probe_interval, [this, key = it.key] { probe(key); });
                    }
                });
}

auto load_driver::on_answer(const sent_request& it, const unary_result& answer) -> void
{
    if (answer.has_error()) {
        on_connection_failure(it, answer.error());
    } else if (find_header(answer.value().head.headers, "cornelswitch-outcome") != nullptr ||
               answer.value().head.status >= 400) {
        on_refusal(it, answer.value());
    } else {
        on_success(it, answer.value());
    }
}

auto load_driver::on_connection_failure(const sent_request& it, const call_failure& failure) -> void
{
    callers_[it.caller].usable_from = loop_.now() + caller_backoff;
    if (failure.cause.code == error_code::timeout) {
        ++report_.unclear_failures;
        add_example("no answer within deadline + 1 s: " + it.id);
        record_failure(it);
    } else if (failure.outcome == request_outcome::not_run) {
        ++report_.connection_not_run;
    } else {
        ++report_.connection_unknown;
    }
}

auto load_driver::on_refusal(const sent_request& it, const http_response& response) -> void
{
    const auto* outcome = find_header(response.head.headers, "cornelswitch-outcome");
    const auto* retry_after = find_header(response.head.headers, "retry-after");
    auto body = json::parse(response.body, nullptr, false);
    auto is_known = outcome != nullptr && (*outcome == "not-run" || *outcome == "unknown");
    if (!is_known || retry_after == nullptr) {
        ++report_.unclear_failures;
        add_example("status " + std::to_string(response.head.status) + " for " + it.id + ": " +
                    response.body.substr(0, 200));
    } else if (*outcome == "not-run") {
        ++report_.refused_not_run;
        audit_.add_not_run_refusal(it.id);
    } else {
        ++report_.refused_unknown;
    }
    auto step = body.is_object() ? json_text(body, "step") : "";
    if (step.empty()) {
        // Refusals of backend servers are passed on unchanged and may lack a step.
        step = "no step: " + (body.is_object() ? json_text(body, "error") : "");
    }
    ++report_.refusals_by_step[step];
    record_failure(it);
}

auto load_driver::on_success(const sent_request& it, const http_response& response) -> void
{
    if (auto difference = check(it, response)) {
        ++report_.wrong_answers;
        add_example("wrong answer to " + it.id + ": " + *difference);
        return;
    }
    ++report_.answered;
    report_.latencies.push_back(loop_.now() - it.at);
    record_success(it);
}

auto load_driver::check(const sent_request& it, const http_response& response) const
    -> std::optional<std::string>
{
    if (it.download_size > 0) {
        download_file expected{it.key, it.download_size};
        if (response.head.status == 200 && response.body == expected.bytes(0, it.download_size)) {
            return std::nullopt;
        }
        return "status " + std::to_string(response.head.status) + ", " +
               std::to_string(response.body.size()) + " of " + std::to_string(it.download_size) +
               " bytes or other content";
    }
    auto body = json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        return "no JSON object: " + response.body.substr(0, 100);
    }
    auto matches = json_text(body, "request") == it.id && json_text(body, "key") == it.key &&
                   json_text(body, "service") == it.service &&
                   json_text(body, "method") == it.method &&
                   json_text(body, "body_hash") == std::to_string(hash_bytes(it.body));
    const auto* server = find_header(response.head.headers, "cornelswitch-server");
    if (!matches || server == nullptr || *server != json_text(body, "server")) {
        return response.body.substr(0, 200);
    }
    return std::nullopt;
}

auto load_driver::record_success(const sent_request& it) -> void
{
    if (it.service != options_.keyed_service) {
        return;
    }
    auto now = loop_.now();
    auto failure = first_failure_at_.find(it.key);
    if (failure != first_failure_at_.end() && it.at >= failure->second) {
        report_.gaps.push_back(now - failure->second);
        first_failure_at_.erase(failure);
    } else if (now - it.at > interruption_threshold) {
        report_.gaps.push_back(now - it.at);
    }
}

auto load_driver::record_failure(const sent_request& it) -> void
{
    if (it.service == options_.keyed_service) {
        auto [failure, is_new] = first_failure_at_.try_emplace(it.key, it.at);
        failure->second = std::min(failure->second, it.at);
        if (is_new && probed_keys_ < max_probed_keys) {
            ++probed_keys_;
            loop_.schedule(probe_interval, [this, key = it.key] { probe(key); });
        }
    }
}

auto load_driver::add_example(std::string text) -> void
{
    if (report_.examples.size() < max_examples) {
        report_.examples.push_back(std::move(text));
    }
}

} // namespace cornelswitch
