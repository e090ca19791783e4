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
#include <unordered_set>
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
    /// Maximum time without this confirmation during which moves are planned. A range that is to
    /// move is not renewed until the store has recorded the move, so none should wait for a store
    /// that is away.
    duration max_unconfirmed_plans{std::chrono::seconds{2}};
    /// No further moves are planned while one has waited for its record for this time.
    duration max_record_time{std::chrono::milliseconds{500}};
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
    /// The owner serves the keys, but its lease is not renewed: the range is to move as soon as the
    /// store names the server that it moves to.
    recording,
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
    /// The only server that may hold the keys; empty when no server may, and in reports of earlier
    /// versions also when the keys are not free yet.
    server_id owner;
    std::int64_t incarnation{0};
    /// Time since the start of the latest grant that the owner confirmed.
    duration confirmed_age{0};
    /// Time until the lease of a server that is not granted the keys any more has expired; zero or
    /// negative when the keys are free or the owner keeps them.
    duration free_in{0};

    friend auto operator==(const transferred_range&, const transferred_range&) -> bool = default;
};

/// Grants, renews and moves the key ranges of one service. At most one server holds a key:
///
/// - A key is granted to a server only after the store's record names that server for it, as the
///   owner or as the target of a move. A coordinator therefore finds every possible holder in the
///   record that it takes over, whichever coordinators acted before it.
/// - A key moves to another server only after its holder confirmed a release, its process is known
///   to have ended, or every lease that any coordinator may have granted has expired. The holder's
///   lease is not renewed once the move may be recorded, so a successor that reads the record may
///   complete the move.
/// - A recorded owner keeps its keys, under a higher token, whichever process of it answers.
/// - While earlier coordinators can act, leases are renewed and recorded moves are completed. No
///   further owner changes.
/// - Fencing tokens only increase. A release carries a higher token than the lease, so the process
///   that answered it refuses earlier grants.
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
        /// Called when a server refuses a grant because it has seen a higher token. Another
        /// coordinator has probably taken over.
        std::function<void()> on_refused;
        /// Reports a phase change for logging.
        std::function<void(std::string_view event, const range_status&, fencing_token,
                           const server_id& previous)>
            report;
    };

    range_authority(range_lease_settings settings, const clock& time, hooks call_hooks);
    range_authority(const range_authority&) = delete;
    auto operator=(const range_authority&) -> range_authority& = delete;
    ~range_authority();

    /// Initializes the ranges from the record that this coordinator replaced. It may use the tokens
    /// from `first_token` to below `token_limit`. Until `earlier_end`, coordinators of earlier
    /// terms may renew leases.
    auto take_over(const coordinator_record& record, fencing_token first_token,
                   fencing_token token_limit, const earlier_terms_end& earlier_end, time_point now)
        -> void;
    /// As `take_over`, for the term that a coordinator starts after a restore of the store:
    /// `record` names the servers that it is certain of, and any server may hold the other keys.
    auto take_over_certain(const coordinator_record& record, fencing_token first_token,
                           fencing_token token_limit, const earlier_terms_end& earlier_end,
                           time_point now) -> void;
    /// The store was restored from a copy, so this coordinator's record may be lost: until its end,
    /// the authority renews the leases that it has granted, within the unconfirmed limit, but moves
    /// no keys and takes no confirmation.
    auto suspend() -> void { is_suspended_ = true; }
    /// Whether the role was confirmed recently enough to renew leases.
    auto may_renew(time_point now) const -> bool
    {
        return now < role_confirmed_at_ + settings_.max_unconfirmed_renewal;
    }
    /// Ranges whose owner alone is named by the newest record that is known to be stored. Another
    /// coordinator that took over from it before the end of this term keeps that owner.
    auto certain_ranges() const -> std::vector<recorded_range>;
    /// Reports that the earlier coordinators have ended sooner; ignored when `earlier_end` is no
    /// earlier than assumed.
    auto set_earlier_terms_end(const earlier_terms_end& earlier_end) -> void;
    /// State of the ranges for the successor, without ranges whose owner is unknown. Valid only
    /// after `stop`.
    auto transfer(time_point now) const -> std::vector<transferred_range>;
    /// Applies the state that the stopped predecessor reported. Ranges for which this coordinator
    /// has already made a call keep their state.
    auto accept_transfer(const std::vector<transferred_range>& ranges, time_point now) -> void;
    /// Whether no earlier coordinator can still renew leases.
    auto is_sole(time_point now) const -> bool { return now >= earlier_end_; }
    /// Whether ranges may be given to other servers now. Ranges that a server may hold stay with it
    /// until `is_sole`.
    auto may_plan(time_point now) const -> bool;
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
    /// Moves `keys` to `target` as soon as the store has recorded that. Ranges are split as needed;
    /// keys that are already moving are skipped.
    auto move(key_range keys, const server_id& target, time_point now) -> void;
    auto tick(time_point now) -> void;
    /// Makes no further calls and ignores the results of pending ones. Used when the coordinator
    /// role ends.
    auto stop() -> void;

    /// Status of the range of a key. `owner` is set only when it may receive requests now;
    /// otherwise `free_at` tells when to check again.
    auto find(std::uint16_t key, time_point now) const -> range_status;
    auto statuses() const -> std::vector<range_status>;
    /// Ranges that a server may hold, to be written to the store.
    auto ranges_to_record() const -> std::vector<recorded_range>;
    /// Whether the result of `ranges_to_record` names every server that may hold a key.
    auto knows_all_holders() const -> bool;
    /// Increases with every change of the result of `ranges_to_record`.
    auto revision() const -> std::uint64_t { return revision_; }
    /// Reports that the store holds the result of `ranges_to_record` at `revision`.
    auto on_recorded(std::uint64_t revision, time_point now) -> void;
    /// Whether a range waits for the store to hold a newer record.
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
    auto may_grant(const range& it) const -> bool;
    auto is_recorded(const range& it) const -> bool;
    /// Whether no call whose outcome is ignored can still reach the owner.
    auto is_quiet(const range& it, time_point now) const -> bool;
    /// Makes the range wait for a record of its present state.
    auto require_record(range& it) -> void;
    auto split(std::uint16_t first) -> void;
    auto merge(time_point now) -> void;
    auto set_phase(range& it, range_phase phase, std::string_view event) -> void;
    auto on_owner_restarted(range& it, std::int64_t incarnation, time_point now) -> void;
    auto register_call(range& it, time_point now) -> std::uint64_t;
    /// Ignores the outcome of the call in flight, if there is one.
    auto discard_call(range& it) -> void;
    /// Ignores its outcome too, and remembers that the call may still reach the owner.
    auto ignore_call(range& it) -> void;
    auto start_grant(range& it, time_point now) -> void;
    auto start_release(range& it, time_point now) -> void;
    auto finish_grant(std::uint64_t call_id, const result<void>& outcome) -> void;
    auto finish_release(std::uint64_t call_id, const result<std::string>& outcome) -> void;
    /// No server holds the keys any more.
    auto clear_owner(range& it, std::string_view event) -> void;
    auto expiry_of(time_point last_possible_grant) const -> time_point;
    /// When the owner is expected to have released the range.
    auto expected_release(const range& it, time_point now) const -> time_point;
    auto find_call(std::uint64_t call_id) -> range*;
    auto advance_range(range& it, time_point now) -> void;
    auto advance_held(range& it, time_point now) -> void;
    auto advance_recording(range& it, time_point now) -> void;
    auto advance_releasing(range& it, time_point now) -> void;
    auto advance_unowned(range& it, time_point now) -> void;
    /// Grants the range to its target.
    auto grant_to_target(range& it, std::string_view event, time_point now) -> void;
    auto adopt(const recorded_range& from, time_point now) -> void;
    auto add_unnamed(key_range keys, bool is_owner_unknown, time_point now) -> void;
    auto take_over(std::vector<recorded_range> named, bool are_others_unknown, time_point now)
        -> void;
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
    time_point role_confirmed_at_{};
    std::uint64_t last_call_id_{0};
    /// First key of the range of each pending call, by call id.
    std::unordered_map<std::uint64_t, std::uint16_t> calls_in_flight_;
    /// Calls without an outcome whose outcome is ignored.
    std::unordered_set<std::uint64_t> ignored_calls_;
    /// Since when a range has waited for a record; zero while none does.
    time_point record_wanted_at_{};
    std::uint64_t revision_{0};
    std::uint64_t recorded_revision_{0};
    /// Moving mean of the time that a server takes to release a range, which it does when the
    /// requests on the keys have ended.
    duration mean_release_time_{std::chrono::milliseconds{300}};
    bool stopped_{false};
    bool is_suspended_{false};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
