#include "gateway/store_replicator.h"
#include "gateway/update_compression.h"

#include "platform/discovery_codec.h"

#include <algorithm>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t max_recent_updates = 16;
/// Minimum time between requests for missing updates of a topic.
constexpr duration catch_up_interval = milliseconds{150};
/// Longer than the age of any record that an instance forwards after a restore.
constexpr duration unnamed_era_distrust = std::chrono::seconds{10};
constexpr std::array<shared_topic, 4> all_shared_topics{
    shared_topic::servers, shared_topic::operators, shared_topic::coordination,
    shared_topic::candidates};

} // namespace

auto store_replicator::on_store_read(shared_topic it, const changes& records, log_offset from,
                                     log_offset end, bool is_reload) -> void
{
    // A coordinator reads the services' records to confirm its role. Unless it is the reader, it
    // need not forward reads without changes.
    auto peer_update_at = topic(it).peer_update_at();
    bool is_role_confirmation =
        it == shared_topic::coordination && is_coordinator_ && records.empty();
    if (is_role_confirmation && peer_update_at && readers_before().value_or(1) > 0) {
        return;
    }
    topic_update update;
    update.topic = it;
    update.from = from;
    update.end = end;
    update.age = loop_.now() - topic(it).read_started();
    update.is_reload = is_reload;
    for (const auto& record : records) {
        if (it == shared_topic::servers) {
            auto& last = forwarded_entries_[record.key];
            // Most heartbeats change nothing but the sequence number.
            if (!record.value.empty() && equals_except_sequence(last, record.value)) {
                continue;
            }
            last = record.value;
        }
        update.records.emplace_back(record.key, record.value);
    }
    update.is_from_store = true;
    update.era = store_.era();
    if (topic(it).is_first_in_era()) {
        // Changes against a copy of an earlier era are of no use to others.
        update.is_snapshot = true;
        update.is_reload = false;
        update.records = topic(it).snapshot();
    }
    compress_update(update, [&](const std::string& key) -> const std::string* {
        auto found = std::ranges::find(records, key, &store_topic::change::key);
        return found == records.end() ? nullptr : &found->previous;
    });
    mesh_.send_to_candidates(update);
    forward(std::move(update));
}

auto store_replicator::forward(topic_update update) -> void
{
    update.is_from_store = false;
    auto n = index(update.topic);
    auto& recent = recent_updates_[n];
    if (update.is_snapshot && update.era != store_era{}) {
        recent.clear();
    } else {
        recent.push_back({update.from, update.end, update.records, update.is_reload});
    }
    if (recent.size() > max_recent_updates) {
        recent.pop_front();
    }
    for (auto& [source, it] : subscribers_) {
        if (it.wants[n] && !it.is_synchronized[n]) {
            send_snapshot(source, update.topic);
            // The snapshot contains this update, so it must not be sent again below.
            it.has_snapshot[n] = true;
        }
    }
    mesh_.broadcast(update, [&](const peer_mesh::session& to) {
        auto it = subscribers_.find(to.source);
        return it != subscribers_.end() && it->second.wants[n] &&
               !std::exchange(it->second.has_snapshot[n], false);
    });
    next_keepalive_ = loop_.now() + keepalive_interval;
}

auto store_replicator::send_snapshot(admission_source to, shared_topic it) -> void
{
    const auto& from = topic(it);
    topic_update update;
    update.topic = it;
    update.end = from.end();
    update.age = age(it);
    update.is_snapshot = true;
    update.era = store_.era();
    update.records = from.snapshot();
    compress_update(update, {});
    mesh_.send_to_session(to, update);
    if (auto found = subscribers_.find(to); found != subscribers_.end()) {
        found->second.is_synchronized[index(it)] = true;
    }
}

auto store_replicator::send_missed_updates(admission_source to, shared_topic it, log_offset end)
    -> bool
{
    const auto& recent = recent_updates_[index(it)];
    auto first = std::ranges::find(recent, end, &forwarded_update::from);
    if (end != topic(it).end() && first == recent.end()) {
        return false;
    }
    for (auto next = first; next != recent.end(); ++next) {
        // An update without records only said that the copy was current when it was sent.
        if (next->records.empty() && next->from == next->end) {
            continue;
        }
        topic_update update;
        update.topic = it;
        update.from = next->from;
        update.end = next->end;
        update.age = age(it);
        update.is_reload = next->is_reload;
        update.era = store_.era();
        update.records = next->records;
        compress_update(update, {});
        mesh_.send_to_session(to, update);
    }
    return true;
}

auto store_replicator::on_subscription(admission_source from, const update_subscription& wanted)
    -> void
{
    const auto* session = mesh_.find(from);
    if (session == nullptr) {
        return;
    }
    if (wanted.topics.empty()) {
        subscribers_.erase(from);
        return;
    }
    // A candidate gets updates from the reader directly; it subscribes only to catch up once.
    bool stays_subscribed = !session->is_candidate;
    for (const auto& [it, end] : wanted.topics) {
        auto n = index(it);
        if (stays_subscribed) {
            subscribers_[from].wants[n] = true;
            subscribers_[from].is_synchronized[n] = false;
        }
        if (!topic(it).is_loaded() || topic(it).awaits_copy()) {
            continue;
        }
        if (!end || !send_missed_updates(from, it, *end)) {
            send_snapshot(from, it);
        }
        if (stays_subscribed) {
            subscribers_[from].is_synchronized[n] = true;
        }
    }
}

auto store_replicator::apply_update(store_topic& copy, const topic_update& update) -> bool
{
    return update.is_snapshot ? copy.apply_snapshot(update.end, update.records, update.age)
                              : copy.apply_update(update.from, update.end, update.records,
                                                  update.age, update.is_reload);
}

auto store_replicator::on_update(const instance_id& from, topic_update update) -> void
{
    auto now = loop_.now();
    if (source_ == from) {
        source_last_received_at_ = now;
    }
    candidate_alive_at_ = std::max(candidate_alive_at_, now - update.age);
    if (!accepts_era(from, update.era)) {
        return;
    }
    // A coordinator confirms its role by its own reads from the store.
    if (update.topic == shared_topic::coordination && is_coordinator_) {
        return;
    }
    auto& copy = topic(update.topic);
    auto before = copy.end();
    bool was_loaded = copy.is_loaded();
    last_sender_[index(update.topic)] = from;
    auto unpacked = decompress_update(update, [&](const std::string& key) -> const std::string* {
        auto found = copy.records().find(key);
        return found == copy.records().end() ? nullptr : &found->second;
    });
    bool is_applied = unpacked.has_value() && apply_update(copy, update);
    lag_monitor_.on_own_progress(index(update.topic), copy.end());
    if (is_applied) {
        if (update.topic == shared_topic::servers) {
            for (const auto& [key, value] : update.records) {
                forwarded_entries_[key] = value;
            }
        }
        // Duplicates are not forwarded; updates without records confirm that the copy is current.
        bool is_new = copy.end() != before || !was_loaded || update.records.empty();
        if (is_new && (update.is_from_store || !was_loaded)) {
            forward(std::move(update));
        }
        return;
    }
    if (!fleet_.is_member() && source_ && *source_ != from) {
        // A late update of an earlier source; the present source sends what is missing.
        return;
    }
    bool has_different_base = unpacked.has_error() && update.end > before;
    bool needs_copy = !was_loaded || copy.awaits_copy();
    bool needs_catch_up = needs_copy || update.from > before || has_different_base ||
                          (update.is_reload && update.end > before);
    if (needs_catch_up && now >= next_catch_up_[index(update.topic)]) {
        next_catch_up_[index(update.topic)] = now + catch_up_interval;
        update_subscription wanted;
        wanted.topics.emplace_back(update.topic, needs_copy ? std::nullopt : std::optional{before});
        mesh_.send(from, wanted);
    }
}

auto store_replicator::source_of(shared_topic it) const -> std::string
{
    return topic(it).peer_update_at() ? last_sender_[index(it)].value() : "store";
}

auto store_replicator::accepts_era(const instance_id& from, store_era era) -> bool
{
    store_.on_peer_era(era, from.value());
    if (era == store_.era()) {
        return true;
    }
    // An instance of an earlier version does not name the era. Shortly after a restore its records
    // may be older.
    return era == store_era{} && loop_.now() >= store_.tracker().seen_at() + unnamed_era_distrust;
}

auto store_replicator::on_store_era() -> void
{
    for (auto it : all_shared_topics) {
        recent_updates_[index(it)].clear();
        topic(it).on_store_era();
    }
    send_to_subscribers(subscription_keepalive{store_.era()});
}

auto store_replicator::dropped_records() const -> std::uint64_t
{
    std::uint64_t out = 0;
    for (const auto& it : topics_) {
        out += it->dropped_records();
    }
    return out;
}

auto store_replicator::on_keepalive(const instance_id& from, store_era era) -> void
{
    store_.on_peer_era(era, from.value());
    candidate_alive_at_ = loop_.now();
    if (source_ == from) {
        source_last_received_at_ = candidate_alive_at_;
    }
}

auto store_replicator::on_progress_query(admission_source from) -> void
{
    progress_report report;
    for (auto it : {shared_topic::servers, shared_topic::operators, shared_topic::coordination}) {
        if (topic(it).is_loaded()) {
            report.ends.emplace_back(it, topic(it).end());
        }
    }
    mesh_.send_to_session(from, report);
}

auto store_replicator::on_progress(const instance_id& from, const progress_report& report) -> void
{
    for (const auto& [it, end] : report.ends) {
        if (topic(it).is_loaded()) {
            lag_monitor_.on_peer_report(from, index(it), end, topic(it).end(), loop_.now());
        }
    }
}

auto store_replicator::send_to_subscribers(const peer_message& message) -> void
{
    if (subscribers_.empty()) {
        return;
    }
    mesh_.broadcast(
        message, [this](const peer_mesh::session& to) { return subscribers_.contains(to.source); });
}

} // namespace cornelswitch
