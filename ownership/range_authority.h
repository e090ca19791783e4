#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "ownership/coordinator_record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

/// Times of key leases. Each bound is explained in docs/ownership.md.
struct range_lease_settings {
    /// Lease that is granted.
    duration lease{std::chrono::seconds{4}};
    /// Interval of renewals: three may fail before a lease lapses.
    duration renewal{std::chrono::seconds{1}};
    /// Longest time for which leases are renewed without proof from the store that no other
    /// coordinator took over.
    duration unconfirmed_renewal{std::chrono::milliseconds{6500}};
    /// Longest time without such proof in which ranges may change hands. A successor moves nothing
    /// before this time has passed, so two coordinators never move the same range.
    duration unconfirmed_moves{std::chrono::seconds{3}};
    /// Time that a coordinator waits after a lease must have lapsed; covers a server's clock that
    /// runs 2% slow, and rounding.
    duration lapse_margin{std::chrono::milliseconds{200}};
    /// Time after which a call to a server is given up.
    duration call_timeout{std::chrono::milliseconds{800}};
    /// Time after which a call without any outcome is forgotten; above every timeout of a call.
    duration lost_call{std::chrono::milliseconds{3500}};
    /// Pause between two attempts of a failed call.
    duration retry_pause{std::chrono::milliseconds{250}};
    /// Time for which a successor waits for what its predecessor knows before it renews the
    /// recorded leases. A connection and an answer take a few milliseconds between zones, up to a
    /// tenth of a second on a small machine.
    duration transfer_wait{std::chrono::milliseconds{150}};
};

/// Why a range is served or not.
enum class range_phase : std::uint8_t {
    /// The owner confirmed the lease.
    held,
    /// The owner has not confirmed the lease yet.
    granting,
    /// The previous owner is asked to stop.
    releasing,
    /// Nobody may be granted the keys before `free_at`.
    waiting,
    /// Free, and without an owner.
    unowned,
};

auto to_string(range_phase phase) -> std::string_view;

struct range_status {
    key_range keys;
    range_phase phase{range_phase::unowned};
    /// Owner, or the server that is to become it.
    std::optional<server_id> owner;
    time_point free_at{};
};

/// What the authority knows of a server.
struct lease_server {
    server_id id;
    std::int64_t incarnation{0};
};

/// What a coordinator that has stopped tells its successor of one range.
struct transferred_range {
    key_range keys;
    /// The only server that may hold the keys; empty when nobody may.
    server_id owner;
    std::int64_t incarnation{0};
    /// Time since the start of the latest grant that the owner confirmed.
    duration confirmed_age{0};
    /// Time until the keys may be granted to anybody; zero or less when they may be now.
    duration free_in{0};

    friend auto operator==(const transferred_range&, const transferred_range&) -> bool = default;
};

/// Grants, renews and moves the key ranges of one service. At most one server holds a key:
///
/// - A key goes to another server only after its holder answered a release, is known to have ended,
///   or after every lease that anybody may have granted it has lapsed.
/// - Tokens only rise. A release carries a token above the lease's, so the server refuses later
///   renewals by a coordinator that has been replaced.
/// - A range that was taken from a server which did not answer is granted again only after the
///   store's record no longer names that server, since it would accept a successor's renewal.
/// - After a take-over, a range whose recorded owner does not confirm the lease stays free of
///   owners until the predecessor's last possible renewal has lapsed.
///
/// The class does no I/O: calls go out through hooks and their results come back through `done`.
class range_authority {
public:
    struct hooks {
        std::function<void(const server_id&, key_range, fencing_token, duration lease,
                           const std::string& handover, std::function<void(result<void>)> done)>
            grant;
        std::function<void(const server_id&, key_range, fencing_token,
                           std::function<void(result<std::string>)> done)>
            release;
        /// Reports a decision for the log.
        std::function<void(std::string_view event, const range_status&, fencing_token,
                           const server_id& previous)>
            report;
    };

    range_authority(range_lease_settings settings, const clock& time, hooks calls);
    range_authority(const range_authority&) = delete;
    auto operator=(const range_authority&) -> range_authority& = delete;
    ~range_authority();

    /// Starts from what the store recorded. Tokens from `first_token` to below `token_limit` are
    /// this one's. `predecessor_seen` is the last time at which a predecessor can have had proof of
    /// its role; none when there is no predecessor, or when it is known to have ended.
    auto take_over(const std::vector<recorded_range>& ranges, fencing_token first_token,
                   fencing_token token_limit, std::optional<time_point> predecessor_seen,
                   time_point now) -> void;
    /// The predecessor stopped at `end`, earlier than had to be assumed.
    auto set_predecessor_end(time_point end) -> void;
    /// What this one knows of the ranges, for the successor. Ranges whose owner is itself unclear
    /// are left out. Valid only once this one has stopped.
    auto transfer(time_point now) const -> std::vector<transferred_range>;
    /// Takes over what the predecessor, which has stopped, knows. Ranges that this one granted
    /// already are left alone.
    auto accept_transfer(const std::vector<transferred_range>& ranges, time_point now) -> void;
    /// No earlier coordinator renews leases any more.
    auto is_sole(time_point now) const -> bool { return now >= predecessor_ends_; }
    /// Whether ranges may change hands now.
    auto may_move(time_point now) const -> bool;
    /// Servers of the service that are alive. A server that is missing may still hold keys.
    auto set_servers(const std::vector<lease_server>& servers, time_point now) -> void;
    /// Proof that the process of a server has ended and that its address reaches no later one of
    /// the same name.
    auto on_server_ended(const server_id& server, std::int64_t incarnation, time_point now) -> void;
    /// A connection to the server broke, so its process may have ended and started again.
    auto on_connection_lost(const server_id& server) -> void;
    /// The server said that it does not hold a key.
    auto on_not_held(const server_id& server, std::uint16_t key, time_point now) -> void;
    /// The store confirmed at `at` that this instance is the coordinator.
    auto confirm(time_point at) -> void;
    /// Gives `keys` to `target`. Ranges are split as needed; keys that are already moving are left
    /// out.
    auto move(key_range keys, const server_id& target, time_point now) -> void;
    auto tick(time_point now) -> void;
    /// Stops all calls, as after the loss of the coordinator's role.
    auto stop() -> void;

    /// Owner of a key that may get requests now, and when there may be one.
    auto find(std::uint16_t key, time_point now) const -> range_status;
    auto statuses() const -> std::vector<range_status>;
    /// Ranges for the store.
    auto recorded() const -> std::vector<recorded_range>;
    /// Rises with every change of what `recorded` returns.
    auto revision() const -> std::uint64_t { return revision_; }
    /// The store holds what `recorded` returned at `revision`.
    auto on_recorded(std::uint64_t revision, time_point now) -> void;
    /// Whether a range waits for a record.
    auto needs_record() const -> bool;
    auto has_tokens() const -> bool
    {
        return next_token_.value() + token_reserve < token_limit_.value();
    }

private:
    /// Tokens that a step may take before the limit is checked again.
    static constexpr std::uint64_t token_reserve = 4;

    struct range;
    using range_map = std::map<std::uint16_t, range>;

    auto take_token() -> fencing_token;
    auto split(std::uint16_t first) -> void;
    auto merge(time_point now) -> void;
    auto set_phase(range& it, range_phase phase, std::string_view event) -> void;
    auto on_restart(range& it, std::int64_t incarnation, time_point now) -> void;
    auto add_call(range& it, time_point now) -> std::uint64_t;
    /// Makes the outcome of a call in flight, if there is one, count for nothing.
    auto drop_call(range& it) -> void;
    auto start_grant(range& it, time_point now) -> void;
    auto start_release(range& it, time_point now) -> void;
    auto finish_grant(std::uint64_t call, const result<void>& outcome) -> void;
    auto finish_release(std::uint64_t call, const result<std::string>& outcome) -> void;
    auto lose_owner(range& it, time_point now, std::string_view event) -> void;
    auto lapse_of(time_point last_call) const -> time_point;
    auto find_call(std::uint64_t call) -> range*;
    auto step(range& it, time_point now) -> void;
    auto accept_transfer(range& it, const transferred_range& from, time_point now) -> void;

    range_lease_settings settings_;
    const clock& time_;
    hooks calls_;
    range_map ranges_;
    std::map<server_id, std::int64_t> servers_;
    fencing_token next_token_;
    fencing_token token_limit_;
    time_point predecessor_ends_{};
    time_point predecessor_moves_end_{};
    time_point confirmed_at_{};
    std::uint64_t last_call_{0};
    /// First key of the range of each call whose outcome is not known yet.
    std::unordered_map<std::uint64_t, std::uint16_t> calls_in_flight_;
    std::uint64_t revision_{0};
    std::uint64_t recorded_revision_{0};
    bool stopped_{false};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
