#pragma once

#include "tests/ownership/succession_model.h"

namespace cornelswitch::test {

/// Clock of one instance, which runs a little faster or slower than true time.
class succession_model::drifting_clock final : public clock {
public:
    drifting_clock(const manual_clock& base, int drift_per_mille)
        : base_{base}, drift_per_mille_{drift_per_mille}
    {
    }
    auto now() const -> time_point override
    {
        auto elapsed = base_.now().time_since_epoch();
        return time_point{elapsed + elapsed / 1000 * drift_per_mille_};
    }
    auto wall_now() const -> wall_time_point override { return base_.wall_now(); }

private:
    const manual_clock& base_;
    int drift_per_mille_;
};

struct succession_model::lease_server {
    struct block_state {
        fencing_token highest;
        time_point held_until{};
    };

    auto holds(std::size_t block, time_point now) const -> bool
    {
        return is_up && now < state.at(block).held_until;
    }

    server_id id;
    /// Increases with each process of the server.
    std::int64_t incarnation{1};
    /// Changes when the server starts again at another address.
    int address{0};
    bool is_up{true};
    /// Incarnation and address that service discovery shows; 0 while it has no entry.
    std::int64_t listed_incarnation{1};
    int listed_address{0};
    std::array<block_state, blocks> state;
};

struct succession_model::connection {
    std::int64_t incarnation{0};
    std::uint64_t number{0};
};

/// Calls of one coordinator to one server, with one connection for grants and one for releases.
struct succession_model::call_channel {
    struct queued_grant {
        key_range keys;
        fencing_token token;
        duration lease{0};
        time_point deadline{};
        std::function<void(result<void>)> done;
    };

    std::optional<connection> grants;
    std::optional<connection> releases;
    std::deque<queued_grant> queue;
    bool is_busy{false};
    int address{0};
    /// A channel to a new address replaces the old one, whose calls get no outcome.
    std::uint64_t number{0};
};

struct succession_model::instance {
    instance_id id;
    std::size_t index{0};
    bool is_up{false};
    boot_id boot;
    time_point frozen_until{};
    time_point cut_until{};
    time_point store_cut_until{};
    std::map<server_id, time_point> server_cut_until;
    std::unique_ptr<drifting_clock> time;
    store_era_tracker eras;
    std::unique_ptr<coordinator_succession> succession;
    std::unique_ptr<range_authority> ranges;
    /// Distinguishes the calls of successive terms.
    std::uint64_t term_number{0};
    std::map<server_id, call_channel> channels;
    /// Address of each server as read from service discovery.
    std::map<server_id, int> addresses;
    std::uint64_t last_connection{0};
    std::size_t read_end{0};
    std::size_t append_end{0};
    bool is_loaded{false};
    bool is_reading{false};
    time_point next_read{};
    append_kind queued{append_kind::none};
    bool is_appending{false};
    bool is_taking_over{false};
    bool needs_read{false};
    time_point next_join{};
    time_point membership_until{};
    time_point next_request{};
    time_point next_directory_read{};
    time_point next_plan{};
};

} // namespace cornelswitch::test
