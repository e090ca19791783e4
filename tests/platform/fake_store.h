#pragma once

#include "adapters/base64.h"
#include "tests/gateway/fake_http_server.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cornelswitch::test {

/// A metadata store that follows the platform's protocol: topics of records with keys, conditional
/// appends, long polling, retention, and a group that assigns all partitions to one member.
class fake_store {
public:
    explicit fake_store(event_loop& loop)
        : loop_{loop}, server_{loop,
                               [this](received_request request) { handle(std::move(request)); }}
    {
    }

    auto address() const -> endpoint { return server_.address(); }

    /// Appends a record, as an operator or a server does.
    auto put(const std::string& topic, const std::string& key, const std::string& value) -> void
    {
        topics_[topic].records.emplace_back(key, value);
        finish_pending_reads();
    }
    /// Makes the records appended so far unavailable to reads, except as the newest of their keys.
    auto compact(const std::string& topic) -> void
    {
        topics_[topic].first_retained = topics_[topic].records.size();
    }

    /// Keeps a copy of all topics, from which `restore` takes the store back.
    auto take_copy() -> void { copy_ = topics_; }
    /// Takes the store back to its copy, in the next era. Reads that are held open are reset.
    auto restore() -> void
    {
        topics_ = copy_;
        era = era.value_or(0) + 1;
        auto pending = std::move(pending_reads_);
        pending_reads_.clear();
        for (auto& it : pending) {
            it.request.reset();
        }
    }

    /// Ends the membership of the member that holds the partitions, as after its time to live. The
    /// next member that joins gets all of them.
    auto expire_membership() -> void { holder_.clear(); }

    /// Era that all responses name; none sends no header.
    std::optional<std::uint64_t> era;
    bool is_down{false};
    /// Appends take effect, but the connection is reset instead of a response.
    bool loses_append_responses{false};
    int appends{0};
    int calls{0};
    int snapshot_read_count{0};

private:
    struct topic_state {
        std::vector<std::pair<std::string, std::string>> records;
        std::size_t first_retained{0};
    };
    struct pending_read {
        std::string topic;
        std::size_t from{0};
        received_request request;
        std::uint64_t number{0};
    };

    auto response(int status, const std::string& headers, const std::string& body) const
        -> std::string
    {
        auto named = era ? "Store-Era: " + std::to_string(*era) + "\r\n" : std::string{};
        return fake_http_server::response(status, named + headers, body);
    }

    static auto query_parameter(const std::string& target, const std::string& name) -> std::string
    {
        auto at = target.find(name + "=");
        if (at == std::string::npos) {
            return {};
        }
        at += name.size() + 1;
        return target.substr(at, target.find('&', at) - at);
    }

    static auto big_endian(std::uint64_t value, std::size_t bytes) -> std::string
    {
        std::string out;
        for (std::size_t n = bytes; n > 0; --n) {
            out.push_back(static_cast<char>((value >> ((n - 1) * 8)) & 0xffU));
        }
        return out;
    }

    auto handle(received_request request) -> void
    {
        ++calls;
        if (is_down) {
            request.send(response(503, "", ""));
            return;
        }
        const auto target = request.head.target;
        if (target.starts_with("/-/log-read")) {
            read(std::move(request));
        } else if (target.starts_with("/-/log-newest")) {
            ++snapshot_read_count;
            send_newest_records(request);
        } else if (target.starts_with("/-/log-append")) {
            append(request);
        } else if (target.starts_with("/-/log-join")) {
            join(request);
        } else if (target.starts_with("/-/log-leave")) {
            leave(request);
        } else {
            request.send(response(200, "", "{}"));
        }
    }

    auto read(received_request request) -> void
    {
        auto topic = query_parameter(request.head.target, "Topic");
        auto from = std::stoul(query_parameter(request.head.target, "FromRev"));
        auto& state = topics_[topic];
        bool is_lost = era && from > state.records.size();
        if (from < state.first_retained || is_lost) {
            request.send(response(
                410, "", R"({"FirstOffset":)" + std::to_string(state.first_retained) + "}"));
            return;
        }
        auto wait = query_parameter(request.head.target, "WaitMs");
        if (from >= state.records.size() && !wait.empty()) {
            auto number = ++last_read_number_;
            pending_reads_.push_back({topic, from, std::move(request), number});
            loop_.schedule(std::chrono::milliseconds{std::stoul(wait)},
                           [this, number] { end_long_poll(number); });
            return;
        }
        send_records(topic, from, request);
    }

    auto send_records(const std::string& topic, std::size_t from, const received_request& request)
        -> void
    {
        auto& state = topics_[topic];
        auto body = big_endian(state.records.size(), 8) + big_endian(state.first_retained, 8);
        for (auto n = from; n < state.records.size(); ++n) {
            const auto& [key, value] = state.records[n];
            body += big_endian(1 + key.size() + value.size(), 4);
            body.push_back(static_cast<char>(key.size()));
            body += key + value;
        }
        request.send(response(200, "", body));
    }

    auto end_long_poll(std::uint64_t number) -> void
    {
        auto it = std::ranges::find(pending_reads_, number, &pending_read::number);
        if (it != pending_reads_.end()) {
            send_records(it->topic, it->from, it->request);
            pending_reads_.erase(it);
        }
    }

    auto finish_pending_reads() -> void
    {
        auto pending = std::move(pending_reads_);
        pending_reads_.clear();
        for (auto& it : pending) {
            if (it.from < topics_[it.topic].records.size()) {
                send_records(it.topic, it.from, it.request);
            } else {
                pending_reads_.push_back(std::move(it));
            }
        }
    }

    auto send_newest_records(const received_request& request) -> void
    {
        auto& state = topics_[query_parameter(request.head.target, "Topic")];
        std::map<std::string, std::pair<std::string, std::size_t>> keys;
        for (std::size_t n = 0; n < state.records.size(); ++n) {
            const auto& [key, value] = state.records[n];
            if (value.empty()) {
                keys.erase(key);
            } else {
                keys[key] = {value, n};
            }
        }
        auto items = nlohmann::json::array();
        for (const auto& [key, it] : keys) {
            items.push_back(
                {{"Key", key}, {"Value", encode_base64(it.first)}, {"Offset", it.second}});
        }
        nlohmann::json body{
            {"items", items}, {"HasMore", false}, {"EndOffset", state.records.size()}};
        request.send(response(200, "", body.dump()));
    }

    auto append(const received_request& request) -> void
    {
        ++appends;
        auto& state = topics_[query_parameter(request.head.target, "Topic")];
        auto expected_end = query_parameter(request.head.target, "AsOf");
        auto end_field = [&] {
            return R"("EndOffset":)" + std::to_string(state.records.size()) + "}";
        };
        if (!expected_end.empty() && std::stoul(expected_end) != state.records.size()) {
            request.send(response(412, "", "{" + end_field()));
            return;
        }
        auto key_bytes = static_cast<unsigned char>(request.body.at(4));
        state.records.emplace_back(request.body.substr(5, key_bytes),
                                   request.body.substr(5U + key_bytes));
        if (loses_append_responses) {
            request.reset();
        } else {
            request.send(response(200, "", R"({"Offset":0,)" + end_field()));
        }
        finish_pending_reads();
    }

    auto leave(const received_request& request) -> void
    {
        auto body = nlohmann::json::parse(request.body);
        if (holder_ == body.at("Member").get<std::string>()) {
            holder_.clear();
        }
        request.send(response(200, "", "{}"));
    }

    auto join(const received_request& request) -> void
    {
        // The first member that joins gets all partitions.
        auto body = nlohmann::json::parse(request.body);
        auto member = body.at("Member").get<std::string>();
        if (holder_.empty()) {
            holder_ = member;
        }
        auto parts = nlohmann::json::array();
        for (int n = 0; n < 8 && holder_ == member; ++n) {
            parts.push_back({body.at("Topics").at(0), n, 0});
        }
        nlohmann::json out{{"Generation", 1}, {"parts", parts}};
        request.send(response(200, "", out.dump()));
    }

    event_loop& loop_;
    fake_http_server server_;
    std::uint64_t last_read_number_{0};
    std::map<std::string, topic_state> topics_;
    std::map<std::string, topic_state> copy_;
    std::vector<pending_read> pending_reads_;
    std::string holder_;
};

} // namespace cornelswitch::test
