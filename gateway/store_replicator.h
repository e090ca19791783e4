#pragma once

#include "core/random.h"
#include "fleet/fleet_view.h"
#include "fleet/lag_monitor.h"
#include "gateway/peer_mesh.h"
#include "gateway/store_topic.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cornelswitch {

/// Keeps this instance's copies of the store's topics up to date with few calls to the store.
///
/// One candidate, the reader, reads the store and sends updates to the other candidates; each
/// candidate forwards them to the instances that subscribe to it. A candidate that gets no updates
/// reads the store itself after a delay that grows with its rank; any other instance does so only
/// when it can reach no candidate.
class store_replicator {
public:
    using changes = std::vector<store_topic::change>;
    struct hooks {
        std::function<void(const changes&)> on_operators;
        std::function<void(const changes&)> on_servers;
        /// The copy of the services' records was up to date at `confirmed_at`.
        std::function<void(const changes&, time_point confirmed_at)> on_coordination;
        std::function<void(bool is_available)> on_store;
    };

    store_replicator(event_loop& loop, store_client& store, event_log& log, random_engine& random,
                     fleet_view& fleet, peer_mesh& mesh, bool is_first_start, hooks receivers);
    store_replicator(const store_replicator&) = delete;
    auto operator=(const store_replicator&) -> store_replicator& = delete;
    ~store_replicator();

    auto start() -> void;
    auto tick(time_point now) -> void;
    /// A coordinator has to confirm its role by reading the services' records from the store
    /// itself.
    auto set_coordinator(bool is_coordinator) -> void;
    /// Reads the services' records now, at most once per `refresh_interval`; candidates only.
    auto refresh_coordination() -> void;

    auto on_update(const instance_id& from, topic_update update) -> void;
    auto on_keepalive(const instance_id& from, store_era era) -> void;
    /// The store was restored from a copy: the copies are loaded anew, and subscribers are told.
    auto on_store_era() -> void;
    /// Records that were given up because a restored store lacks them.
    auto dropped_records() const -> std::uint64_t;
    auto on_status(const fleet_status& status) -> void;
    auto on_subscription(admission_source from, const update_subscription& wanted) -> void;
    auto on_subscriber_count(admission_source from, const subscriber_count_report& report) -> void;
    auto on_progress_query(admission_source from) -> void;
    auto on_progress(const instance_id& from, const progress_report& report) -> void;
    auto on_link(const instance_id& node, bool is_up) -> void;
    auto on_session(admission_source source) -> void;
    auto on_session_end(admission_source source) -> void;
    /// Sends a message to all instances that subscribe to this one.
    auto send_to_subscribers(const peer_message& message) -> void;

    auto servers() -> store_topic& { return topic(shared_topic::servers); }
    auto servers() const -> const store_topic& { return topic(shared_topic::servers); }
    auto operators() -> store_topic& { return topic(shared_topic::operators); }
    auto coordination() -> store_topic& { return topic(shared_topic::coordination); }
    auto is_loaded() const -> bool;
    /// Where the newest state of a topic came from: the id of an instance, or "store".
    auto source_of(shared_topic it) const -> std::string;
    /// Number of instances in the fleet as last reported to this one; 0 before the first report.
    auto instances() const -> std::uint32_t { return status_.instances; }

private:
    static constexpr std::size_t topics = 4;
    /// Time without an update after which subscribers are sent a keepalive.
    static constexpr duration keepalive_interval{std::chrono::milliseconds{600}};
    struct subscriber {
        /// For each topic, whether the instance subscribes to it and whether its copy follows this
        /// instance's.
        std::array<bool, topics> wants{};
        std::array<bool, topics> is_synchronized{};
        /// For each topic, whether a snapshot with the update that is being forwarded was just
        /// sent.
        std::array<bool, topics> has_snapshot{};
    };
    /// An update that was forwarded, kept for instances whose copies lag a little.
    struct forwarded_update {
        log_offset from;
        log_offset end;
        std::vector<std::pair<std::string, std::string>> records;
        bool is_reload{false};
    };

    static auto index(shared_topic it) -> std::size_t { return static_cast<std::size_t>(it); }
    auto topic(shared_topic it) -> store_topic& { return *topics_.at(index(it)); }
    auto topic(shared_topic it) const -> const store_topic& { return *topics_.at(index(it)); }
    auto make_topics() -> void;
    auto on_candidates(const changes& records) -> void;
    auto on_store_read(shared_topic it, const changes& records, log_offset from, log_offset end,
                       bool is_reload) -> void;
    static auto apply_update(store_topic& copy, const topic_update& update) -> bool;
    auto forward(topic_update update) -> void;
    auto send_snapshot(admission_source to, shared_topic it) -> void;
    /// Sends the updates after `end`. Returns false when they are no longer kept.
    auto send_missed_updates(admission_source to, shared_topic it, log_offset end) -> bool;
    auto announce() -> void;
    /// Number of reachable members that rank before this one as reader; none when this instance is
    /// no member.
    auto readers_before() const -> std::optional<std::size_t>;
    auto update_fallback_delays() -> void;
    auto start_topics() -> void;
    auto choose_source(time_point now) -> void;
    /// Candidates to which this instance can subscribe, best first.
    auto sources() const -> std::vector<instance_id>;
    /// Subscribes to `to` and cancels the subscription to the previous source.
    auto subscribe(const instance_id& to) -> void;
    /// Compares the progress of the source with other candidates', and changes it when it lags.
    auto check_progress(time_point now) -> void;
    auto report_subscriber_count(time_point now) -> void;
    /// Whether the absence of updates means that there are none: false when this instance is cut
    /// off from the store and from every other candidate.
    auto can_receive_updates(time_point now) const -> bool;
    auto age(shared_topic it) const -> duration;
    /// Whether records that were read in `era` may be applied. Passes on the news of a higher one.
    auto accepts_era(const instance_id& from, store_era era) -> bool;

    event_loop& loop_;
    store_client& store_;
    event_log& log_;
    random_engine& random_;
    fleet_view& fleet_;
    peer_mesh& mesh_;
    bool is_first_start_;
    hooks hooks_;
    std::array<std::unique_ptr<store_topic>, topics> topics_;
    std::array<std::deque<forwarded_update>, topics> recent_updates_;
    std::array<time_point, topics> next_catch_up_{};
    /// Instance that sent the last update of each topic.
    std::array<instance_id, topics> last_sender_{};
    /// Last forwarded entry of each server.
    std::unordered_map<std::string, std::string> forwarded_entries_;
    std::map<admission_source, subscriber> subscribers_;
    std::map<admission_source, std::uint32_t> subscriber_counts_;
    fleet_status status_;
    time_point started_at_{};
    bool is_started_{false};
    bool is_announcing_{false};
    bool has_rechecked_candidates_{false};
    bool is_coordinator_{false};
    time_point next_announce_{};
    time_point next_refresh_{};
    time_point next_report_{};
    time_point next_keepalive_{};
    /// Candidate that this instance subscribes to, and when it last sent an update or a keepalive.
    std::optional<instance_id> source_;
    time_point source_last_received_at_{};
    std::size_t source_attempts_{0};
    lag_monitor lag_monitor_;
    std::size_t peer_checks_{0};
    time_point next_check_{};
    time_point next_switch_{};
    /// Last time at which a candidate that sends updates was known to be alive.
    time_point candidate_alive_at_{};
    std::uint64_t seen_fleet_revision_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
