#include "routing/idempotency_table.h"

#include <algorithm>

namespace cornelswitch {

namespace {

// The length prefix distinguishes ("a", "bc") from ("ab", "c").
auto make_entry_name(std::string_view scope, std::string_view key) -> std::string
{
    auto out = std::to_string(scope.size());
    out += ':';
    out += scope;
    out += key;
    return out;
}

auto hex_digit(char c) -> int
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

auto size_of(const recorded_response& response) -> std::size_t
{
    auto out = response.body.size();
    for (const auto& [name, value] : response.headers) {
        out += name.size() + value.size();
    }
    return out;
}

auto cannot_have_run_before(std::string_view key, const slot_takeover& takeover, time_point now)
    -> bool
{
    if (now - takeover.taken_at > idempotency_table::retention) {
        return true;
    }
    auto created = uuid_v7_time(key);
    return created && *created >= takeover.taken_at_wall + idempotency_table::clock_skew;
}

} // namespace

auto uuid_v7_time(std::string_view text) -> std::optional<wall_time_point>
{
    constexpr std::size_t uuid_size = 36;
    constexpr std::size_t time_digits = 12;
    if (text.size() != uuid_size || text[14] != '7') {
        return std::nullopt;
    }
    auto variant = hex_digit(text[19]);
    if (variant < 8 || variant > 11) {
        return std::nullopt;
    }
    std::int64_t ms = 0;
    std::size_t digits = 0;
    for (std::size_t n = 0; n < uuid_size; ++n) {
        auto is_dash = n == 8 || n == 13 || n == 18 || n == 23;
        if (is_dash != (text[n] == '-') || (!is_dash && hex_digit(text[n]) < 0)) {
            return std::nullopt;
        }
        if (!is_dash && digits++ < time_digits) {
            ms = ms * 16 + hex_digit(text[n]);
        }
    }
    return wall_time_point{std::chrono::milliseconds{ms}};
}

auto idempotency_table::begin(std::string_view scope, std::string_view key,
                              std::uint64_t fingerprint, const slot_takeover& takeover,
                              time_point now) -> idempotency_decision
{
    expire(now);
    auto name = make_entry_name(scope, key);
    auto it = entries_.find(name);
    if (it == entries_.end()) {
        if (!cannot_have_run_before(key, takeover, now)) {
            return {idempotency_action::may_have_run_elsewhere};
        }
        if (entries_.size() >= max_entries_ || bytes_ + name.size() > max_bytes_) {
            return {idempotency_action::full};
        }
        bytes_ += name.size();
        entries_[std::move(name)].fingerprint = fingerprint;
        return {idempotency_action::run};
    }
    const auto& found = it->second;
    if (found.fingerprint != fingerprint) {
        return {idempotency_action::mismatch};
    }
    switch (found.request_state) {
    case state::running:
        return {idempotency_action::in_progress};
    case state::recorded:
        return {idempotency_action::replay, &found.response};
    case state::not_kept:
        break;
    }
    return {idempotency_action::response_unavailable};
}

auto idempotency_table::complete(std::string_view scope, std::string_view key,
                                 recorded_response response, time_point now) -> void
{
    auto it = entries_.find(make_entry_name(scope, key));
    if (it == entries_.end() || it->second.request_state != state::running) {
        return;
    }
    end_request(it, state::recorded, now);
    auto& added = it->second;
    added.response_bytes = size_of(response);
    added.response = std::move(response);
    bytes_ += added.response_bytes;
    for (auto oldest = ended_.begin(); bytes_ > max_bytes_ && oldest != ended_.end(); ++oldest) {
        drop_response(entries_.find(*oldest)->second);
    }
}

auto idempotency_table::forget(std::string_view scope, std::string_view key) -> void
{
    auto it = entries_.find(make_entry_name(scope, key));
    if (it != entries_.end() && it->second.request_state == state::running) {
        erase(it);
    }
}

auto idempotency_table::mark_response_lost(std::string_view scope, std::string_view key,
                                           time_point now) -> void
{
    auto it = entries_.find(make_entry_name(scope, key));
    if (it != entries_.end() && it->second.request_state == state::running) {
        end_request(it, state::not_kept, now);
    }
}

auto idempotency_table::expire(time_point now) -> void
{
    while (!ended_.empty()) {
        auto it = entries_.find(ended_.front());
        if (now - it->second.ended_at <= retention) {
            return;
        }
        erase(it);
    }
}

auto idempotency_table::end_request(entry_map::iterator it, state request_state, time_point now)
    -> void
{
    it->second.request_state = request_state;
    it->second.ended_at = now;
    it->second.ended_position = ended_.insert(ended_.end(), it->first);
}

auto idempotency_table::drop_response(entry& it) -> void
{
    bytes_ -= it.response_bytes;
    it.response_bytes = 0;
    it.response = {};
    it.request_state = state::not_kept;
}

auto idempotency_table::erase(entry_map::iterator it) -> void
{
    bytes_ -= it->first.size() + it->second.response_bytes;
    if (it->second.request_state != state::running) {
        ended_.erase(it->second.ended_position);
    }
    entries_.erase(it);
}

} // namespace cornelswitch
