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

/// What this instance knows from the store, whoever read it.
///
/// One candidate reads the store for all and tells the other candidates; each of them passes the
/// news on to the instances that take theirs from it. A candidate that gets no news reads itself,
/// after a time that grows with its place among them; any other instance does only when it reaches
/// no candidate.
class knowledge {
public:
    using changes = std::vector<store_topic::change>;
    struct hooks {
        std::function<void(const changes&)> on_operators;
        std::function<void(const changes&)> on_servers;
        /// `proof` is a time at which the copy of the services' records was the newest.
        std::function<void(const changes&, time_point proof)> on_own;
        std::function<void(bool is_available)> on_store;
    };

    knowledge(event_loop& loop, unary_client& store, event_log& log, random_engine& random,
              fleet_view& fleet, peer_mesh& mesh, bool is_first_start, hooks receivers);
    knowledge(const knowledge&) = delete;
    auto operator=(const knowledge&) -> knowledge& = delete;
    ~knowledge();

    auto start() -> void;
    auto tick(time_point now) -> void;
    /// This instance needs proof of its role from the store, or does not any more.
    auto set_coordinator(bool is_coordinator) -> void;
    /// Reads the services' records soon; at most every 0.9 s.
    auto refresh() -> void;

    auto on_news(const instance_id& from, topic_news news) -> void;
    auto on_pause(const instance_id& from) -> void;
    auto on_status(const fleet_status& status) -> void;
    auto on_subscription(admission_source from, const news_subscription& wanted) -> void;
    auto on_audience(admission_source from, const audience_report& report) -> void;
    auto on_progress_query(admission_source from) -> void;
    auto on_progress(const instance_id& from, const progress_report& report) -> void;
    auto on_link(const instance_id& node, bool is_up) -> void;
    auto on_session(admission_source source) -> void;
    auto on_session_end(admission_source source) -> void;
    /// Passes a message on to the instances that take their news from this one.
    auto to_audience(const peer_message& message) -> void;

    auto servers() -> store_topic& { return topic(shared_topic::servers); }
    auto servers() const -> const store_topic& { return topic(shared_topic::servers); }
    auto operators() -> store_topic& { return topic(shared_topic::operators); }
    auto own() -> store_topic& { return topic(shared_topic::own); }
    auto is_loaded() const -> bool;
    /// Where the newest state of a topic came from: a peer's name, or "store".
    auto source_of(shared_topic it) const -> std::string;
    /// Instances of the fleet, as far as this one was told; 0 when it was not.
    auto instances() const -> std::uint32_t { return status_.instances; }

private:
    static constexpr std::size_t topics = 4;
    /// A word that there is no news, when there is none.
    static constexpr duration pause_interval{std::chrono::milliseconds{600}};
    struct audience {
        /// Topics that the instance wants, and whether its copy follows this one's.
        std::array<bool, topics> wants{};
        std::array<bool, topics> is_in_step{};
        /// It has just got all records, with the news that are passed on now.
        std::array<bool, topics> is_new{};
    };
    /// News that were passed on, for an instance whose copy is a little behind.
    struct batch {
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
    auto on_own_read(shared_topic it, const changes& records, log_offset from, log_offset end,
                     bool is_reload) -> void;
    static auto accept(store_topic& copy, const topic_news& news) -> bool;
    auto pass_on(topic_news news) -> void;
    auto send_whole(admission_source to, shared_topic it) -> void;
    /// Sends what the receiver lacks after `end`. Returns false when that is not known any more.
    auto send_rest(admission_source to, shared_topic it, log_offset end) -> bool;
    auto announce() -> void;
    /// Reachable candidates that read before this one; none when this one is no candidate.
    auto reader_place() const -> std::optional<std::size_t>;
    auto set_patience() -> void;
    auto start_topics() -> void;
    auto choose_source(time_point now) -> void;
    /// Candidates that can be asked, the ones to be asked first at the front.
    auto sources() const -> std::vector<instance_id>;
    /// Takes the news from `to` from now on, and from no other one.
    auto subscribe(const instance_id& to) -> void;
    /// Asks one candidate after the other how far it is.
    auto check_progress(time_point now) -> void;
    auto report_audience(time_point now) -> void;
    /// Whether silence means that there is no news: not when this instance is cut off from the
    /// store and from every other candidate.
    auto would_hear_news(time_point now) const -> bool;
    auto age(shared_topic it) const -> duration;

    event_loop& loop_;
    unary_client& store_;
    event_log& log_;
    random_engine& random_;
    fleet_view& fleet_;
    peer_mesh& mesh_;
    bool is_first_start_;
    hooks hooks_;
    std::array<std::unique_ptr<store_topic>, topics> topics_;
    std::array<std::deque<batch>, topics> recent_;
    std::array<time_point, topics> next_catch_up_{};
    /// Instance that told this one of a topic last.
    std::array<instance_id, topics> told_by_{};
    /// Entries of servers as they were passed on last.
    std::unordered_map<std::string, std::string> passed_entries_;
    std::map<admission_source, audience> audience_;
    std::map<admission_source, std::uint32_t> audience_sizes_;
    fleet_status status_;
    time_point started_at_{};
    bool is_started_{false};
    bool is_announcing_{false};
    bool is_vacancy_seen_{false};
    bool is_coordinator_{false};
    time_point next_announce_{};
    time_point next_refresh_{};
    time_point next_report_{};
    time_point next_pause_{};
    /// Candidate that this instance takes its news from, and when it last said anything.
    std::optional<instance_id> source_;
    time_point source_heard_at_{};
    std::size_t source_turn_{0};
    lag_monitor lag_monitor_;
    std::size_t check_turn_{0};
    time_point next_check_{};
    time_point next_switch_{};
    /// When a candidate could last be reached, for an instance that is none.
    time_point fed_at_{};
    std::uint64_t seen_members_{0};
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
};

} // namespace cornelswitch
