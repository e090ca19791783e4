#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "ownership/coordinator_record.h"
#include "ownership/term_end.h"

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

/// Durations that govern key leases; docs/ownership.md derives each bound.
struct range_lease_settings {
    /// Duration of a granted lease.
    duration lease{std::chrono::seconds{4}};
    /// Interval between renewals; three in a row may fail before a lease expires.
    duration renewal{std::chrono::seconds{1}};
    /// Maximum time for which leases are renewed without confirmation from the store that no other
    /// coordinator took over.
    duration max_unconfirmed_renewal{std::chrono::milliseconds{6500}};
    /// Maximum time without this confirmation during which ranges may move. A successor moves no
    /// range before this time has passed, so two coordinators never move the same range.
    duration max_unconfirmed_moves{std::chrono::seconds{3}};
    /// Extra time that is added to the computed expiry of a lease; together with
    /// `slow_clock_divisor` it covers a server clock that runs 2% slow, and rounding.
    duration expiry_margin{std::chrono::milliseconds{200}};
    /// Time after which a call to a server is aborted.
    duration call_timeout{std::chrono::milliseconds{800}};
    /// Time after which a call without an outcome is discarded; longer than every timeout of a
    /// call.
    duration max_call_duration{std::chrono::milliseconds{3500}};
    /// Delay before a failed call is retried.
    duration retry_delay{std::chrono::milliseconds{250}};
    /// Maximum time for which a successor waits for the state of its predecessor before it renews
    /// the recorded leases. Connecting and receiving the answer takes a few milliseconds between
    /// zones, and up to 100 ms on a small machine.
    duration transfer_timeout{std::chrono::milliseconds{150}};

    /// Longest time after the last confirmation of its role at which a call of a coordinator can
    /// reach a server, by the clock of any other instance: both clocks may be 2% off, and the last
    /// call may take until its timeout.
    auto max_unconfirmed_action() const -> duration
    {
        return max_unconfirmed_renewal + max_unconfirmed_renewal / 25 + call_timeout;
    }
};

/// State of a range, which determines whether its keys are served.
enum class range_phase : std::uint8_t {
    /// The owner confirmed the lease.
    held,
    /// The owner has not yet confirmed the lease.
    granting,
    /// The previous owner has been asked to release the range.
    releasing,
    /// The keys must not be granted to any server before `free_at`.
    waiting,
    /// The keys are free and the range has no owner.
    unowned,
};

auto to_string(range_phase phase) -> std::string_view;

struct range_status {
    key_range keys;
    range_phase phase{range_phase::unowned};
    /// Current owner, or the server that the range will be granted to.
    std::optional<server_id> owner;
    time_point free_at{};
};

/// A server of the service and the process that it runs.
struct server_process {
    server_id id;
    std::int64_t incarnation{0};
};

/// State of one range as a stopped coordinator reports it to its successor.
struct transferred_range {
    key_range keys;
    /// The only server that may hold the keys; empty when no server may.
    server_id owner;
    std::int64_t incarnation{0};
    /// Time since the start of the latest grant that the owner confirmed.
    duration confirmed_age{0};
    /// Time until the keys may be granted to any server; zero or negative when they may be granted
    /// now.
    duration free_in{0};

    friend auto operator==(const transferred_range&, const transferred_range&) -> bool = default;
};

/// Grants, renews and moves the key ranges of one service. At most one server holds a key:
///
/// - A key moves to another server only after its holder confirmed a release, its process is known
///   to have ended, or every lease that any coordinator may have granted has expired.
/// - Fencing tokens only increase. A release carries a higher token than the lease, so the server
///   refuses later renewals by a superseded coordinator.
/// - A range that was taken from a server without its answer is granted again only after the record
///   in the store no longer names that server; otherwise a successor would renew that server's
///   lease.
/// - After a change of coordinator, a range whose recorded owner does not confirm the lease is
///   granted to no server until the last lease that the predecessor can have renewed has expired.
///
/// The class does no I/O: it makes calls through `hooks` and receives their results through the
/// `done` callbacks.
class range_authority {
public:
    struct hooks {
        std::function<void(const server_id&, key_range, fencing_token, duration lease,
                           const std::string& handover, std::function<void(result<void>)> done)>
            grant;
        std::function<void(const server_id&, key_range, fencing_token,
                           std::function<void(result<std::string>)> done)>
            release;
        /// Reports a phase change for logging.
        std::function<void(std::string_view event, const range_status&, fencing_token,
                           const server_id& previous)>
            report;
    };

    range_authority(range_lease_settings settings, const clock& time, hooks call_hooks);
    range_authority(const range_authority&) = delete;
    auto operator=(const range_authority&) -> range_authority& = delete;
    ~range_authority();

    /// Initializes the ranges from the record in the store. This coordinator may use the tokens
    /// from `first_token` to below `token_limit`. Until `earlier_end`, coordinators of earlier
    /// terms may renew leases.
    auto take_over(const std::vector<recorded_range>& ranges, fencing_token first_token,
                   fencing_token token_limit, const earlier_terms_end& earlier_end, time_point now)
        -> void;
    /// Reports that the earlier coordinators have ended sooner; ignored when `earlier_end` is no
    /// earlier than assumed.
    auto set_earlier_terms_end(const earlier_terms_end& earlier_end) -> void;
    /// State of the ranges for the successor, without ranges whose owner is uncertain. Valid only
    /// after `stop`.
    auto transfer(time_point now) const -> std::vector<transferred_range>;
    /// Applies the state that the stopped predecessor reported. Ranges that this coordinator has
    /// already granted keep their state.
    auto accept_transfer(const std::vector<transferred_range>& ranges, time_point now) -> void;
    /// Whether no earlier coordinator can still renew leases.
    auto is_sole(time_point now) const -> bool { return now >= earlier_end_; }
    /// Whether ranges may be moved now.
    auto may_move(time_point now) const -> bool;
    /// Sets the live servers of the service. A server that is missing may still hold keys.
    auto set_servers(const std::vector<server_process>& servers, time_point now) -> void;
    /// Reports that the process of a server has ended and that its address does not reach a later
    /// process of the same server.
    auto on_server_ended(const server_id& server, std::int64_t incarnation, time_point now) -> void;
    /// Reports a lost connection to the server, whose process may therefore have restarted.
    auto on_connection_lost(const server_id& server) -> void;
    /// Reports that the server answered that it does not hold the key.
    auto on_not_held(const server_id& server, std::uint16_t key, time_point now) -> void;
    /// Reports that the store confirmed the role of this coordinator at `at`.
    auto confirm(time_point at) -> void;
    /// Moves `keys` to `target`. Ranges are split as needed; keys that are already moving are
    /// skipped.
    auto move(key_range keys, const server_id& target, time_point now) -> void;
    auto tick(time_point now) -> void;
    /// Makes no further calls and ignores the results of pending ones. Used when the coordinator
    /// role ends.
    auto stop() -> void;

    /// Status of the range of a key. `owner` is set only when it may receive requests now;
    /// otherwise `free_at` tells when to check again.
    auto find(std::uint16_t key, time_point now) const -> range_status;
    auto statuses() const -> std::vector<range_status>;
    /// Owned ranges, to be written to the store.
    auto ranges_to_record() const -> std::vector<recorded_range>;
    /// Increases with every change of the result of `recorded`.
    auto revision() const -> std::uint64_t { return revision_; }
    /// Reports that the store holds the result of `recorded` at `revision`.
    auto on_recorded(std::uint64_t revision, time_point now) -> void;
    /// Whether a range cannot be granted before the store holds a newer record.
    auto needs_record() const -> bool;
    auto has_tokens() const -> bool
    {
        return next_token_.value() + reserved_tokens < token_limit_.value();
    }

private:
    /// Tokens that may be allocated between two checks of the limit.
    static constexpr std::uint64_t reserved_tokens = 4;

    struct range;
    using range_map = std::map<std::uint16_t, range>;

    auto allocate_token() -> fencing_token;
    auto split(std::uint16_t first) -> void;
    auto merge(time_point now) -> void;
    auto set_phase(range& it, range_phase phase, std::string_view event) -> void;
    auto on_owner_restarted(range& it, std::int64_t incarnation, time_point now) -> void;
    auto register_call(range& it, time_point now) -> std::uint64_t;
    /// Ignores the outcome of the call in flight, if there is one.
    auto discard_call(range& it) -> void;
    auto start_grant(range& it, time_point now) -> void;
    auto start_release(range& it, time_point now) -> void;
    auto finish_grant(std::uint64_t call_id, const result<void>& outcome) -> void;
    auto finish_release(std::uint64_t call_id, const result<std::string>& outcome) -> void;
    auto clear_owner(range& it, time_point now, std::string_view event) -> void;
    auto expiry_of(time_point last_possible_grant) const -> time_point;
    auto find_call(std::uint64_t call_id) -> range*;
    auto advance_range(range& it, time_point now) -> void;
    auto accept_transfer(range& it, const transferred_range& from, time_point now) -> void;

    range_lease_settings settings_;
    const clock& time_;
    hooks hooks_;
    range_map ranges_;
    std::map<server_id, std::int64_t> servers_;
    fencing_token next_token_;
    fencing_token token_limit_;
    /// Until then, coordinators of earlier terms may renew leases.
    time_point earlier_end_{};
    /// Until then, they may also move ranges.
    time_point earlier_last_move_{};
    time_point role_confirmed_at_{};
    std::uint64_t last_call_id_{0};
    /// First key of the range of each pending call, by call id.
    std::unordered_map<std::uint64_t, std::uint16_t> calls_in_flight_;
    std::uint64_t revision_{0};
    std::uint64_t recorded_revision_{0};
    bool stopped_{false};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
