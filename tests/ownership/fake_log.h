#pragma once

#include "ownership/log_follower.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cornelswitch::test {

/// In-memory implementation of the platform's log with fault injection.
class fake_log {
public:
    enum class append_fault : std::uint8_t {
        none,
        /// The record is not appended, and the answer is an error.
        fail,
        /// The record is appended, but the answer is an error.
        lose_answer,
        /// The answer is an error, and `append_delayed_records` appends the record later.
        append_late,
    };

    struct stream_data {
        std::uint64_t first{0};
        std::vector<std::string> records;
    };

    auto end(log_stream name) -> std::uint64_t { return streams[name].records.size(); }

    auto append(log_stream name, const std::string& data) -> result<log_offset>
    {
        auto fault = std::exchange(next_append, append_fault::none);
        if (down || fault == append_fault::fail) {
            return error{error_code::unavailable, "append"};
        }
        if (fault == append_fault::append_late) {
            delayed_appends.emplace_back(name, data);
            return error{error_code::timeout, "append"};
        }
        streams[name].records.push_back(data);
        if (fault == append_fault::lose_answer) {
            return error{error_code::connection_lost, "append"};
        }
        return log_offset{end(name) - 1};
    }

    auto append_delayed_records() -> void
    {
        for (const auto& [name, data] : delayed_appends) {
            streams[name].records.push_back(data);
        }
        delayed_appends.clear();
    }

    auto read(const read_log& request) -> result<log_page>
    {
        if (down) {
            return error{error_code::unavailable, "read"};
        }
        const auto& data = streams[request.stream];
        auto from = std::max(request.from.value(), data.first);
        log_page page{log_offset{data.first}, log_offset{data.records.size()}, {}};
        for (auto n = from; n < data.records.size() && page.records.size() < request.limit; ++n) {
            page.records.push_back({log_offset{n}, data.records[n]});
        }
        return page;
    }

    std::map<log_stream, stream_data> streams;
    std::vector<std::pair<log_stream, std::string>> delayed_appends;
    append_fault next_append{append_fault::none};
    bool down{false};
};

/// A log follower that runs against a `fake_log` and an optional peer. Each step advances the time
/// by 100 ms; reads are answered in the next step.
class follower_node {
public:
    follower_node(fake_log& log, int number, const log_follower::settings& options = {})
        : follower{instance_id{"i" + std::to_string(number)},
                   boot_id{static_cast<std::uint64_t>(number)}, options},
          log_{log}
    {
    }

    auto step() -> void
    {
        now += std::chrono::milliseconds{100};
        auto answers = std::exchange(reads_, {});
        for (const auto& it : answers) {
            handle(follower.on_page(it.stream, it.token, log_.read(it), now));
        }
        handle(follower.tick(now));
    }

    auto run(int steps) -> void
    {
        for (int n = 0; n < steps; ++n) {
            step();
        }
    }

    /// Outcomes of one record, in the order in which they were reported.
    auto outcomes(writer_sequence sequence) const -> std::vector<append_settled>
    {
        std::vector<append_settled> out;
        for (const auto& it : settled) {
            if (it.sequence == sequence) {
                out.push_back(it);
            }
        }
        return out;
    }

    auto deadline() const -> time_point { return now + std::chrono::seconds{20}; }

    auto publish(std::uint64_t replaces, const std::string& text) -> writer_sequence
    {
        return follower.submit_config(config_version{replaces}, text, deadline()).value();
    }

    time_point now{std::chrono::seconds{1}};
    log_follower follower;
    follower_node* peer{nullptr};
    std::vector<append_settled> settled;
    int copies_requested{0};

private:
    auto handle(const log_actions& actions) -> void
    {
        for (const auto& it : actions) {
            std::visit([this](const auto& action) { perform(action); }, it);
        }
    }

    auto perform(const read_log& action) -> void { reads_.push_back(action); }
    auto perform(const append_settled& action) -> void { settled.push_back(action); }
    auto perform(const stream_changed&) -> void {}

    auto perform(const append_log& action) -> void
    {
        auto answer = log_.append(action.stream, action.data);
        handle(follower.on_appended(action.stream, action.sequence, action.attempt, answer, now));
    }

    auto perform(const request_state_copy&) -> void
    {
        ++copies_requested;
        auto copy = peer != nullptr ? peer->follower.copy_state() : std::nullopt;
        if (copy) {
            handle(follower.on_state_copy(*copy, now));
        }
    }

    fake_log& log_;
    std::vector<read_log> reads_;
};

} // namespace cornelswitch::test
