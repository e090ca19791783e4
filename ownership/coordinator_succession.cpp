#include "ownership/coordinator_succession.h"

#include <algorithm>
#include <utility>

namespace cornelswitch {

coordinator_succession::coordinator_succession(instance_id self, boot_id boot, endpoint address)
    : self_{std::move(self)}, boot_{boot}, address_{std::move(address)}, role_{self_, boot_}
{
}

auto coordinator_succession::on_record(const std::optional<coordinator_record>& record,
                                       time_point now) -> role_change
{
    bool is_late = is_record_read_ && record && record_ && record->era < record_->era;
    if (is_late) {
        ++dropped_records_;
        is_record_hidden_ = role_.is_held();
        return role_change::none;
    }
    record_ = record;
    is_record_read_ = true;
    // A record of an earlier era says who was the coordinator when the store was copied, and
    // nothing about the present one.
    return is_record_of_earlier_era() ? role_change::none : role_.on_record(record, now);
}

auto coordinator_succession::on_store_era(store_era era, range_authority* authority, time_point now)
    -> void
{
    if (era <= era_) {
        return;
    }
    is_first_start_ = is_first_start_ && era_ == store_era{};
    era_ = era;
    era_seen_at_ = now;
    is_record_read_ = false;
    // The store was restored at or before this time. An unknown successor can move recorded ranges
    // only when the unconfirmed time of this coordinator has passed.
    may_keep_ranges_ = authority != nullptr && role_.is_held() && authority->may_renew(now);
    if (authority != nullptr) {
        authority->suspend();
    }
}

auto coordinator_succession::needs_takeover(time_point now) const -> bool
{
    if (needs_new_term()) {
        return true;
    }
    bool may_other_write = is_record_of_earlier_era() && record_ && record_->coordinator != self_ &&
                           now < era_seen_at_ + new_term_grace;
    return role_.is_wanted() && !may_other_write;
}

auto coordinator_succession::make_takeover_record(const range_authority* authority)
    -> std::optional<coordinator_record>
{
    bool is_across_eras = is_record_of_earlier_era();
    bool is_mine = record_ && role_.is_mine(*record_) && !is_across_eras;
    bool is_needed = needs_new_term() || role_.is_wanted();
    if (!is_needed || is_mine || !is_record_read_) {
        return std::nullopt;
    }
    predecessor_ = record_;
    coordinator_record next;
    next.coordinator = self_;
    next.boot = boot_;
    next.address = address_;
    next.term = lease_term{std::max(record_ ? record_->term.value() : 0, first_number(era_)) + 1};
    next.era = era_;
    auto first = std::max(record_ ? record_->token_limit.value() : 1, first_number(era_) + 1);
    next.token_limit = fencing_token{first + tokens_per_term};
    next.revision = ++write_revision_;
    next.has_no_live_predecessor = !record_ && !is_across_eras;
    if (is_across_eras) {
        // Terms and owners that followed the copy are unknown, even if the copy has no record.
        auto latest = std::max(next.term.value() - 1, role_.latest_term().value());
        next.term = lease_term{std::max(latest, first_number(era_)) + 1};
        next.names_all_holders = false;
        if (needs_new_term() && may_keep_ranges_ && authority != nullptr) {
            certain_term_ = next.term;
            next.ranges = authority->certain_ranges();
            for (auto& range : next.ranges) {
                range.token = fencing_token{first};
            }
        }
    } else if (record_) {
        next.ranges = record_->ranges;
        next.names_all_holders = record_->names_all_holders;
    }
    last_written_record_ = next;
    return next;
}

auto coordinator_succession::on_takeover_stored() -> bool
{
    bool is_current = last_written_record_ && last_written_record_->era == era_;
    if (!is_current || !role_.start(last_written_record_->term)) {
        return false;
    }
    record_ = last_written_record_;
    return true;
}

auto coordinator_succession::start_term(const coordinator_record& mine, range_authority* authority,
                                        time_point confirmed_at, time_point now) -> void
{
    is_predecessor_stopped_ = !predecessor_;
    bool has_predecessors = predecessor_ || (mine.era != store_era{} && !is_first_start_);
    // No earlier coordinator gets its role confirmed after the record of this term. After a
    // restore, the number of this term does not follow that of the predecessor, so the end of the
    // predecessor's term does not shorten the time.
    earlier_terms_end_ = earlier_terms_end{
        mine.term,
        has_predecessors ? now + range_lease_settings{}.max_unconfirmed_action() : time_point{}};
    if (predecessor_ && predecessor_->coordinator == self_) {
        // The coordinator was a previous process of this instance, which has ended. The
        // coordinators before that process may still act, unless the record says that they had
        // ended.
        is_predecessor_stopped_ = true;
        if (predecessor_->has_no_live_predecessor) {
            on_term_ended({predecessor_->term, now}, {predecessor_->term, now});
        }
    }
    if (authority == nullptr) {
        return;
    }
    auto first = fencing_token{mine.token_limit.value() - tokens_per_term};
    if (mine.term == certain_term_) {
        authority->take_over_certain(mine, first, mine.token_limit, *earlier_terms_end_, now);
    } else {
        authority->take_over(mine, first, mine.token_limit, *earlier_terms_end_, now);
    }
    authority->confirm(confirmed_at);
    last_recorded_revision_ = authority->revision();
    // Revisions are numbers of this term's ranges.
    last_written_ranges_revision_ = 0;
}

auto coordinator_succession::end_term(range_authority* authority, time_point now) -> void
{
    stopped_ranges_.clear();
    stopped_at_ = now;
    if (authority != nullptr) {
        authority->stop();
        stopped_ranges_ = authority->transfer(now);
    }
}

auto coordinator_succession::make_stop_confirmation(time_point now) const -> stopped_coordinator
{
    stopped_coordinator out;
    out.last_term = role_.term();
    out.ranges = stopped_ranges_;
    if (earlier_terms_end_) {
        out.earlier_terms_end_in = earlier_terms_end_->at() - now;
    }
    auto age = now - stopped_at_;
    for (auto& range : out.ranges) {
        range.confirmed_age += age;
        range.free_in -= age;
    }
    return out;
}

auto coordinator_succession::on_term_ended(const term_end& last, const earlier_terms_end& before)
    -> void
{
    auto joined = before.including(last);
    bool is_earlier = joined && joined->term() == earlier_terms_end_->term() &&
                      joined->at() < earlier_terms_end_->at();
    if (is_earlier) {
        earlier_terms_end_ = joined;
    }
}

auto coordinator_succession::on_predecessor_stopped(const stopped_coordinator& answer,
                                                    range_authority* authority, time_point now)
    -> std::size_t
{
    // The predecessor of the term that ends may be replaced by that of the next one already.
    if (!predecessor_ || !earlier_terms_end_ || needs_new_term()) {
        return 0;
    }
    is_predecessor_stopped_ = true;
    // An instance that was the coordinator in another term has replaced the process of the
    // predecessor, and does not know about the terms before.
    bool is_predecessor = answer.last_term == predecessor_->term;
    if (is_predecessor && answer.earlier_terms_end_in) {
        on_term_ended({predecessor_->term, now},
                      {predecessor_->term, now + *answer.earlier_terms_end_in});
    } else if (predecessor_->has_no_live_predecessor) {
        on_term_ended({predecessor_->term, now}, {predecessor_->term, now});
    }
    if (authority == nullptr) {
        return 0;
    }
    authority->set_earlier_terms_end(*earlier_terms_end_);
    // The ranges are only up to date if no other coordinator served between that one and this one.
    // The store may have lost the record of one that did.
    if (!is_predecessor || predecessor_->era < era_of(role_.term())) {
        return 0;
    }
    authority->accept_transfer(answer.ranges, now);
    next_record_time_ = now;
    return answer.ranges.size();
}

auto coordinator_succession::needs_range_record(range_authority& authority, time_point now) -> bool
{
    if (std::exchange(is_record_hidden_, false)) {
        writes_record_again_ = true;
        return true;
    }
    if (!record_ || needs_new_term() || (now < next_record_time_ && !authority.needs_record())) {
        return false;
    }
    bool is_sole_recorded = authority.is_sole(now) == record_->has_no_live_predecessor;
    if (authority.revision() == last_recorded_revision_ && is_sole_recorded) {
        return false;
    }
    last_recorded_revision_ = authority.revision();
    next_record_time_ = now + record_interval;
    bool is_recorded = authority.knows_all_holders() == record_->names_all_holders &&
                       std::ranges::equal(authority.ranges_to_record(), record_->ranges,
                                          &recorded_range::names_same_servers);
    if (is_recorded && is_sole_recorded) {
        authority.on_recorded(last_recorded_revision_, now);
        return false;
    }
    return true;
}

auto coordinator_succession::make_range_record(range_authority& authority, time_point now)
    -> std::optional<coordinator_record>
{
    if (!role_.is_held() || !record_ || needs_new_term()) {
        return std::nullopt;
    }
    if (last_written_record_ && record_->revision == last_written_record_->revision) {
        // The previous append got no response but took effect.
        authority.on_recorded(last_written_ranges_revision_, now);
        bool is_unchanged = authority.revision() == last_written_ranges_revision_;
        if (is_unchanged && !writes_record_again_) {
            return std::nullopt;
        }
    }
    auto next = *record_;
    next.ranges = authority.ranges_to_record();
    next.names_all_holders = authority.knows_all_holders();
    last_written_ranges_revision_ = authority.revision();
    next.has_no_live_predecessor = authority.is_sole(now);
    writes_record_again_ = false;
    next.revision = ++write_revision_;
    last_written_record_ = next;
    return next;
}

auto coordinator_succession::on_range_record_stored(range_authority& authority, time_point sent_at,
                                                    time_point now) -> void
{
    if (!role_.is_held() || !last_written_record_ || needs_new_term()) {
        return;
    }
    record_ = last_written_record_;
    authority.confirm(sent_at);
    authority.on_recorded(last_written_ranges_revision_, now);
}

} // namespace cornelswitch
