#pragma once

#include "ownership/coordinator_role.h"
#include "ownership/range_authority.h"
#include "ownership/term_end.h"

#include <optional>
#include <vector>

namespace cornelswitch {

/// Confirmation of an instance that it is not the coordinator of a service any more.
struct stopped_coordinator {
    /// Term in which the instance was the coordinator; 0 when it was not.
    lease_term last_term;
    /// Time until no coordinator of a term before `last_term` can act any more; zero or negative
    /// when none can. Empty when the instance does not know.
    std::optional<duration> earlier_terms_end_in;
    /// State of the ranges when it stopped; times are relative to the time of the confirmation.
    std::vector<transferred_range> ranges;
};

/// What one instance knows about the coordinators of a service: the stored record, its own role,
/// and whether earlier coordinators can still act.
///
/// The class does no I/O. Its user appends the records that it returns, each one on the condition
/// that the store has no record that was not read yet.
class coordinator_succession {
public:
    /// Fencing tokens reserved for one term. Each move of a range uses a few, so they suffice for
    /// any term.
    static constexpr std::uint64_t tokens_per_term = 1U << 20U;
    /// Shortest interval between two records of the owners; readers are billed for each record.
    static constexpr duration record_interval = std::chrono::milliseconds{1500};
    /// Time in a new era during which only the recorded coordinator writes its record. It knows who
    /// holds most keys, while any other instance has to wait until all leases have expired.
    static constexpr duration new_term_grace = std::chrono::milliseconds{1000};

    coordinator_succession(instance_id self, boot_id boot, endpoint address);

    auto role() const -> const coordinator_role& { return role_; }
    /// Newest known record of the service.
    auto record() const -> const std::optional<coordinator_record>& { return record_; }
    /// Record of the coordinator that this instance replaced or is about to replace.
    auto predecessor() const -> const std::optional<coordinator_record>& { return predecessor_; }
    /// Whether a coordinator of any earlier term may still act.
    auto may_earlier_coordinator_act(time_point now) const -> bool
    {
        return earlier_terms_end_ && now < earlier_terms_end_->at();
    }

    /// See `coordinator_role::set_assigned`.
    auto set_assigned(bool is_mine, time_point sent_at) -> void
    {
        role_.set_assigned(is_mine, sent_at);
    }
    /// The deployment starts for the first time, so a store without a record has never had one,
    /// unless this process has seen an earlier era. Otherwise the record may be lost, and all
    /// leases of unknown coordinators have to expire first.
    auto set_first_start() -> void { is_first_start_ = true; }
    /// Processes the first knowledge of a new era of the store: it was restored from a copy, so
    /// records that this instance has read or written may be lost. A coordinator keeps its role but
    /// moves no keys until a record of it is stored in this era. `authority` is null when the role
    /// is not held or the service has no keys. Eras that are not higher are ignored.
    auto on_store_era(store_era era, range_authority* authority, time_point now) -> void;
    auto era() const -> store_era { return era_; }
    /// Whether this instance is the coordinator by a record of an earlier era, so that it has to
    /// write its record again.
    auto needs_new_term() const -> bool { return role_.is_held() && era_of(role_.term()) < era_; }
    /// Whether a record of `make_takeover_record` is to be written.
    auto needs_takeover(time_point now) const -> bool;
    /// Whether the service's record was read in the present era.
    auto is_record_read() const -> bool { return is_record_read_; }
    /// Records of an earlier era that were ignored, because one of a later era is known.
    auto dropped_records() const -> std::uint64_t { return dropped_records_; }
    /// Processes the newest record of the service. Of several records of the store's present state,
    /// that of the highest era is the newest one: a late append of an earlier era may follow it.
    auto on_record(const std::optional<coordinator_record>& record, time_point now) -> role_change;
    /// See `coordinator_role::on_superseded`.
    auto on_superseded(lease_term successor, time_point now) -> bool
    {
        return role_.on_superseded(successor, now);
    }

    /// Returns the record by which this instance takes over, or by which the coordinator starts a
    /// new term in a new era; none when the role is not wanted or is recorded as its own, and
    /// before the service's record was read in the present era. `authority` has the ranges of the
    /// coordinator that starts a new term.
    auto make_takeover_record(const range_authority* authority = nullptr)
        -> std::optional<coordinator_record>;
    /// Reports that the record of `make_takeover_record` is stored. Returns whether the role
    /// starts.
    auto on_takeover_stored() -> bool;
    /// Starts the term of `mine`, the record that made this instance the coordinator and that was
    /// the newest one at `confirmed_at`. `authority` is null for a service without keys.
    auto start_term(const coordinator_record& mine, range_authority* authority,
                    time_point confirmed_at, time_point now) -> void;
    /// Ends the term. `authority` is null for a service without keys.
    auto end_term(range_authority* authority, time_point now) -> void;
    /// Confirms to the coordinator that replaced this instance that the term has ended.
    auto make_stop_confirmation(time_point now) const -> stopped_coordinator;
    /// Whether the predecessor has to be asked to stop.
    auto needs_stop_confirmation(time_point now) const -> bool
    {
        return !is_predecessor_stopped_ && !needs_new_term() && may_earlier_coordinator_act(now);
    }
    /// Processes the confirmation of the predecessor. Returns the number of ranges that it
    /// contributed.
    auto on_predecessor_stopped(const stopped_coordinator& answer, range_authority* authority,
                                time_point now) -> std::size_t;

    /// Whether the ranges have changed and are to be written now.
    auto needs_range_record(range_authority& authority, time_point now) -> bool;
    /// Returns the record of the ranges; none when it is stored already or the role has ended.
    auto make_range_record(range_authority& authority, time_point now)
        -> std::optional<coordinator_record>;
    /// Reports that the record of `make_range_record`, whose append was sent at `sent_at`, is
    /// stored.
    auto on_range_record_stored(range_authority& authority, time_point sent_at, time_point now)
        -> void;

private:
    /// Whether the record that is known is not one of the present era.
    auto is_record_of_earlier_era() const -> bool
    {
        return era_ != store_era{} && (record_ ? record_->era < era_ : !is_first_start_);
    }
    /// Takes into account that the term right before the own one ended at `last`, and all terms
    /// before that one at `before`.
    auto on_term_ended(const term_end& last, const earlier_terms_end& before) -> void;

    instance_id self_;
    boot_id boot_;
    endpoint address_;
    coordinator_role role_;
    std::optional<coordinator_record> record_;
    std::optional<coordinator_record> predecessor_;
    /// Highest known era of the store, and when it became known.
    store_era era_;
    time_point era_seen_at_{};
    bool is_first_start_{false};
    /// The service's record was read in the present era.
    bool is_record_read_{true};
    /// The role was confirmed so shortly before the present era that no later coordinator can have
    /// moved a range that was recorded before.
    bool may_keep_ranges_{false};
    /// Term whose record names the ranges that this instance was certain of; 0 when there is none.
    lease_term certain_term_;
    std::uint64_t dropped_records_{0};
    /// A late record of an earlier era follows that of this coordinator, which processes that start
    /// later would not find. The record is due again, and is written even if it did not change.
    bool is_record_hidden_{false};
    bool writes_record_again_{false};
    bool is_predecessor_stopped_{true};
    /// End of all terms before the own one; none before the first term of this instance.
    std::optional<earlier_terms_end> earlier_terms_end_;
    /// State of the ranges when this instance ceased to be the coordinator.
    std::vector<transferred_range> stopped_ranges_;
    time_point stopped_at_{};
    /// Revision of the ranges that was last given to the store.
    std::uint64_t last_recorded_revision_{0};
    /// When the ranges may be written again.
    time_point next_record_time_{};
    /// `coordinator_record::revision` of the last record that this process offered to the store.
    std::uint64_t write_revision_{0};
    /// Record that was last given to the store. It is not known yet whether it was stored.
    std::optional<coordinator_record> last_written_record_;
    /// Revision of the ranges in `last_written_record_`.
    std::uint64_t last_written_ranges_revision_{0};
};

} // namespace cornelswitch
