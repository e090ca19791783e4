#include "standins/platform_service.h"

#include "adapters/base64.h"
#include "standins/json_response.h"

#include <algorithm>

namespace cornelswitch {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t max_waiting_reads = 4096;
constexpr std::size_t max_hung_requests = 4096;
constexpr std::uint64_t max_page_records = 1000;
constexpr std::uint64_t max_wait_ms = 60'000;
/// A page ends early after this many bytes, so that the size of a response stays bounded.
constexpr std::size_t max_page_bytes = std::size_t{8} << 20U;

auto starts_with(const std::string& text, const std::string& prefix) -> bool
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

auto page_json(const platform_log::page& page) -> json
{
    auto records = json::array();
    std::size_t bytes = 0;
    for (const auto& it : page.records) {
        bytes += it.data.size();
        if (bytes > max_page_bytes && !records.empty()) {
            break;
        }
        records.push_back({{"offset", it.offset}, {"data", encode_base64(it.data)}});
    }
    return {{"first", page.first}, {"end", page.end}, {"records", std::move(records)}};
}

auto to_duration(const json& milliseconds_value) -> duration
{
    return milliseconds{milliseconds_value.get<std::uint32_t>()};
}

} // namespace

platform_service::platform_service(const options& options, environment environment)
    : log_{options.retained_records}, instances_{options.instance_lifetime}, environment_{std::move(
                                                                                 environment)}
{
}

auto platform_service::handle(std::uint16_t port, call_ptr call) -> void
{
    if (call->request().path == "/faults") {
        set_faults(call);
        return;
    }
    auto faults = faults_of(port);
    if (faults.down) {
        call->abort();
        return;
    }
    if (faults.hang) {
        hung_.push_back(std::move(call));
        if (hung_.size() > max_hung_requests) {
            hung_.pop_front();
        }
        return;
    }
    if (faults.delay > duration::zero()) {
        environment_.schedule(faults.delay, [this, port, call] { dispatch(port, call); });
        return;
    }
    dispatch(port, call);
}

auto platform_service::dispatch(std::uint16_t port, const call_ptr& call) -> void
{
    static const std::string streams = "/streams/";
    static const std::string records = "/records";
    static const std::string instances = "/instances";
    auto path = request_target::parse(call->request().path).path;
    if (starts_with(path, streams) && path.size() > streams.size() + records.size() &&
        path.ends_with(records)) {
        auto length = path.size() - streams.size() - records.size();
        handle_stream(port, path.substr(streams.size(), length), call);
    } else if (path == instances) {
        handle_instances("", call);
    } else if (starts_with(path, instances + "/")) {
        handle_instances(path.substr(instances.size() + 1), call);
    } else {
        respond_error(*call, 404, "no such path");
    }
}

auto platform_service::handle_stream(std::uint16_t port, const std::string& stream,
                                     const call_ptr& call) -> void
{
    const auto& method = call->request().method;
    if (method == "POST") {
        append(stream, call);
    } else if (method == "GET") {
        read(port, stream, call);
    } else {
        respond_error(*call, 405, "method must be GET or POST");
    }
}

auto platform_service::append(const std::string& stream, const call_ptr& call) -> void
{
    auto offset = log_.append(stream, call->take_body());
    if (!offset) {
        respond_error(*call, 413, "record too large or too many streams");
        return;
    }
    auto lost = lost_append_responses_.find(stream);
    if (lost != lost_append_responses_.end() && lost->second > 0) {
        --lost->second;
        call->abort();
    } else {
        respond_json(*call, 200, {{"offset", *offset}});
    }
    wake_readers(stream);
}

auto platform_service::read(std::uint16_t port, const std::string& stream, const call_ptr& call)
    -> void
{
    auto target = request_target::parse(call->request().path);
    auto limit = std::min(target.number("limit", 100), max_page_records);
    auto longest = milliseconds{std::min(target.number("wait_ms", 0), max_wait_ms)};
    waiting_read request{++last_wait_, port, stream, target.number("from", 0), limit, call};
    auto page = log_.read(stream, request.from, limit);
    if (page.records.empty() && longest > milliseconds::zero() &&
        waiting_.size() < max_waiting_reads) {
        wait(std::move(request), longest);
        return;
    }
    send_page(request);
}

auto platform_service::wait(waiting_read read, duration longest) -> void
{
    auto id = read.id;
    read.call->on_closed = [this, id] {
        std::erase_if(waiting_, [id](const auto& it) { return it.id == id; });
    };
    waiting_.push_back(std::move(read));
    environment_.schedule(longest, [this, id] { end_wait(id); });
}

auto platform_service::end_wait(std::uint64_t id) -> void
{
    auto it = std::find_if(waiting_.begin(), waiting_.end(),
                           [id](const auto& read) { return read.id == id; });
    if (it == waiting_.end()) {
        return;
    }
    auto read = std::move(*it);
    waiting_.erase(it);
    send_page(read);
}

auto platform_service::wake_readers(const std::string& stream) -> void
{
    std::list<waiting_read> ready;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        auto next = std::next(it);
        if (it->stream == stream) {
            ready.splice(ready.end(), waiting_, it);
        }
        it = next;
    }
    for (const auto& it : ready) {
        send_page(it);
    }
}

auto platform_service::send_page(const waiting_read& read) -> void
{
    respond_json(*read.call, 200, page_json(log_.read(read.stream, read.from, read.limit)));
}

auto platform_service::handle_instances(const std::string& id, const call_ptr& call) -> void
{
    const auto& method = call->request().method;
    if (id.empty() && method == "GET") {
        auto out = json::array();
        for (const auto& it : instances_.list(environment_.now())) {
            out.push_back(json::parse(it));
        }
        respond_json(*call, 200, out);
        return;
    }
    if (id.empty() || method != "PUT") {
        respond_error(*call, 405, "method must be GET for /instances or PUT for /instances/ID");
        return;
    }
    auto entry = json::parse(call->request().body, nullptr, false);
    if (!entry.is_object() || entry.value("id", json{}) != id) {
        respond_error(*call, 400, "the body must be a JSON object with the id of the path");
        return;
    }
    if (!instances_.publish(id, entry.dump(), environment_.now())) {
        respond_error(*call, 503, "the instance list is full");
        return;
    }
    respond_json(*call, 200, json::object());
}

auto platform_service::set_faults(const call_ptr& call) -> void
{
    auto faults = json::parse(call->request().body, nullptr, false);
    if (!faults.is_object()) {
        respond_error(*call, 400, "the body must be a JSON object");
        return;
    }
    try {
        apply_faults(faults);
    } catch (const json::exception& ex) {
        respond_error(*call, 400, ex.what());
        return;
    }
    abort_readers_of_faulty_ports();
    respond_json(*call, 200, json::object());
}

auto platform_service::apply_faults(const json& faults) -> void
{
    apply_port_faults(faults);
    if (auto it = faults.find("lose_append_answers"); it != faults.end()) {
        lost_append_responses_[it->at("stream").get<std::string>()] =
            it->at("count").get<std::uint64_t>();
    }
    if (auto it = faults.find("truncate"); it != faults.end()) {
        log_.truncate(it->at("stream").get<std::string>(), it->at("first").get<std::uint64_t>());
    }
    if (auto it = faults.find("list_lag_ms"); it != faults.end()) {
        instances_.set_lag(to_duration(*it));
    }
    if (auto it = faults.find("list_hide"); it != faults.end()) {
        instances_.set_hidden(it->get<std::set<std::string>>());
    }
    if (auto it = faults.find("list_add"); it != faults.end()) {
        std::vector<std::string> entries;
        for (const auto& entry : *it) {
            entries.push_back(entry.dump());
        }
        instances_.set_false_entries(std::move(entries));
    }
}

auto platform_service::apply_port_faults(const json& faults) -> void
{
    auto port = faults.find("port");
    auto& target =
        port == faults.end() ? common_faults_ : faults_by_port_[port->get<std::uint16_t>()];
    target.down = faults.value("down", target.down);
    target.hang = faults.value("hang", target.hang);
    if (auto it = faults.find("slow_ms"); it != faults.end()) {
        target.delay = to_duration(*it);
    }
    if (!target.hang) {
        // Requests held open by the fault are aborted, not handled late.
        for (const auto& it : hung_) {
            it->abort();
        }
        hung_.clear();
    }
}

auto platform_service::abort_readers_of_faulty_ports() -> void
{
    std::list<waiting_read> ended;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        auto next = std::next(it);
        auto faults = faults_of(it->port);
        if (faults.down || faults.hang) {
            ended.splice(ended.end(), waiting_, it);
        }
        it = next;
    }
    for (const auto& it : ended) {
        if (faults_of(it.port).down) {
            it.call->abort();
        } else {
            hung_.push_back(it.call);
        }
    }
}

auto platform_service::faults_of(std::uint16_t port) const -> port_faults
{
    auto it = faults_by_port_.find(port);
    if (it == faults_by_port_.end()) {
        return common_faults_;
    }
    return {common_faults_.down || it->second.down, common_faults_.hang || it->second.hang,
            std::max(common_faults_.delay, it->second.delay)};
}

} // namespace cornelswitch
