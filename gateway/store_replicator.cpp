#include "gateway/store_replicator.h"

#include "platform/discovery_codec.h"
#include "platform/store_codec.h"
#include "platform/store_names.h"

#include <algorithm>
#include <cmath>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Heartbeats of servers come many times a second, so they are read in batches. A server that
/// leaves must get no request after two seconds, which leaves time for three reads.
constexpr duration server_read_interval = milliseconds{600};
/// Short, because an unresponsive connection is only detected when the long poll ends, and a
/// configuration must take effect within two seconds.
constexpr duration operator_long_poll_time = milliseconds{1200};
constexpr duration operator_read_interval = milliseconds{100};
constexpr duration operator_response_timeout = milliseconds{700};
constexpr duration own_long_poll_time = seconds{15};
constexpr duration own_read_interval = milliseconds{900};
constexpr duration own_response_timeout = milliseconds{1200};
constexpr duration candidate_long_poll_time = seconds{12};
constexpr duration candidate_read_interval = seconds{1};
/// A coordinator has to confirm its role within `max_unconfirmed_moves`.
constexpr duration coordinator_long_poll_time = milliseconds{1000};
constexpr duration coordinator_read_interval = milliseconds{200};
/// Time without updates, by topic, after which the second-ranked candidate reads the store itself;
/// the first one does a step sooner, the next ones a step later each. A candidate that reads
/// continues to do so, which keeps the others from reading.
constexpr std::array<duration, 4> base_fallback_delays{milliseconds{900}, milliseconds{1450},
                                                       milliseconds{2500}, seconds{14}};
constexpr duration fallback_delay_step = milliseconds{150};
constexpr std::size_t max_fallback_delay_steps = 3;
/// Time without a candidate after which any other instance reads the store itself. It must not send
/// requests to a server that left longer ago than that.
constexpr duration subscriber_fallback_delay = milliseconds{2200};
/// Time without a message from the source after which an instance subscribes to another one.
constexpr duration source_timeout = milliseconds{1300};
constexpr duration source_switch_interval = milliseconds{700};
/// Interval at which the progress of other candidates is queried. Together with
/// `lag_monitor::allowed_lag`, an instance detects within a second that it lags.
constexpr duration check_interval = milliseconds{500};
constexpr duration report_interval = seconds{1};
/// Minimum time between reads of the services' records that are requested by `refresh`.
constexpr duration refresh_interval = milliseconds{900};
/// At the first start of a deployment an instance waits this time divided by its share of a core,
/// so that large machines announce themselves first.
constexpr duration first_announce_delay = milliseconds{50};
/// Small machines announce themselves after this time without a reachable candidate and a random
/// delay of up to as long, until there are `max_small_candidates`.
constexpr double max_announce_spread_s = 3;
constexpr duration unreachable_before_announce = seconds{3};
constexpr std::size_t max_small_candidates = 8;
constexpr duration announce_retry_interval = seconds{1};
/// `first_read_delay` lets other candidates announce themselves at the first start of a deployment
/// before the reader reads; `next_read_delay` lets the reader finish before the next candidate
/// reads.
constexpr duration first_read_delay = milliseconds{150};
constexpr duration next_read_delay = milliseconds{200};
constexpr duration subscriber_read_delay = milliseconds{2000};
constexpr const char* reader_role = "store-reader";

constexpr std::array<shared_topic, 4> all_topics{shared_topic::servers, shared_topic::operators,
                                                 shared_topic::coordination,
                                                 shared_topic::candidates};

/// Additional fallback delay of a candidate with `before` reachable ones ranked before it.
auto extra_fallback_delay(std::size_t before) -> duration
{
    return fallback_delay_step * static_cast<int>(std::min(before, max_fallback_delay_steps));
}

} // namespace

store_replicator::store_replicator(event_loop& loop, store_client& store, event_log& log,
                                   random_engine& random, fleet_view& fleet, peer_mesh& mesh,
                                   bool is_first_start, hooks receivers)
    : loop_{loop}, store_{store}, log_{log}, random_{random}, fleet_{fleet}, mesh_{mesh},
      is_first_start_{is_first_start}, hooks_{std::move(receivers)}
{
    make_topics();
}

store_replicator::~store_replicator()
{
    *alive_ = false;
}

auto store_replicator::make_topics() -> void
{
    auto make = [this](shared_topic it, topic_options options,
                       std::function<void(const changes&, time_point)> on_read,
                       std::function<void(bool)> on_availability) {
        store_topic::hooks receivers;
        receivers.on_update = std::move(on_read);
        receivers.on_store_read = [this, it](const changes& records, log_offset from,
                                             log_offset end, bool is_reload) {
            on_store_read(it, records, from, end, is_reload);
        };
        receivers.on_availability = [this, it, on_availability](bool is_available) {
            if (on_availability) {
                on_availability(is_available);
            }
            if (!is_available) {
                return;
            }
            for (auto other : all_topics) {
                if (other != it && topics_[index(other)]) {
                    topic(other).retry();
                }
            }
        };
        topics_[index(it)] = std::make_unique<store_topic>(loop_, store_, log_, std::move(options),
                                                           std::move(receivers));
    };
    topic_options servers{std::string{server_topic_name()}, duration::zero(), server_read_interval};
    make(
        shared_topic::servers, servers,
        [this](const changes& records, time_point) { hooks_.on_servers(records); },
        [this](bool is_available) { hooks_.on_store(is_available); });
    // The servers' topic is polled, so it detects that the store is back; the other topics are then
    // retried at once.
    topic_options operators{std::string{operator_topic_name()},
                            operator_long_poll_time,
                            operator_read_interval,
                            operator_response_timeout,
                            true,
                            milliseconds{1200},
                            [](const std::string& key) { return evacuated_zone(key).has_value(); }};
    make(shared_topic::operators, operators,
         [this](const changes& records, time_point) { hooks_.on_operators(records); }, {});
    topic_options own{std::string{coordination_topic_name()},
                      own_long_poll_time,
                      own_read_interval,
                      own_response_timeout,
                      true,
                      milliseconds{1200}};
    make(shared_topic::coordination, own,
         [this](const changes& records, time_point confirmed_at) {
             hooks_.on_coordination(records, confirmed_at);
         },
         {});
    topic_options candidates{std::string{candidate_topic_name()},
                             candidate_long_poll_time,
                             candidate_read_interval,
                             own_response_timeout,
                             true,
                             milliseconds{1200}};
    make(shared_topic::candidates, candidates,
         [this](const changes& records, time_point) { on_candidates(records); }, {});
}

auto store_replicator::start() -> void
{
    started_at_ = loop_.now();
    candidate_alive_at_ = started_at_;
    auto share = std::max(0.05, fleet_.self().cpu_share);
    auto announce_delay = std::chrono::duration_cast<duration>(first_announce_delay / share);
    next_announce_ = started_at_ + (is_first_start_ ? announce_delay : duration::zero());
    topic(shared_topic::candidates).start(is_first_start_ ? announce_delay : duration::zero());
}

auto store_replicator::start_topics() -> void
{
    if (std::exchange(is_started_, true)) {
        return;
    }
    auto rank = readers_before();
    auto delay = subscriber_read_delay;
    if (rank) {
        delay = is_first_start_ ? first_read_delay : duration::zero();
        delay += *rank == 0 ? duration::zero() : next_read_delay + extra_fallback_delay(*rank);
    }
    for (auto it : {shared_topic::servers, shared_topic::operators, shared_topic::coordination}) {
        topic(it).start(delay);
    }
}

auto store_replicator::on_candidates(const changes& records) -> void
{
    for (const auto& it : records) {
        if (it.value.empty()) {
            fleet_.remove(instance_id{it.key});
            continue;
        }
        auto decoded = decode_candidate(it.key, it.value);
        if (decoded.has_error()) {
            log_.line("candidate-malformed")
                .text("key", it.key)
                .text("cause", decoded.error().message);
            continue;
        }
        fleet_.add(decoded.value());
    }
}

auto store_replicator::announce() -> void
{
    auto now = loop_.now();
    auto& candidates = topic(shared_topic::candidates);
    if (is_announcing_ || now < next_announce_ || !candidates.is_loaded() ||
        !fleet_.should_announce(now, unreachable_before_announce)) {
        return;
    }
    bool is_large = fleet_.is_large(fleet_.self());
    if (!is_large) {
        if (fleet_.count_small() >= max_small_candidates) {
            return;
        }
        // A random delay, so that not all small machines announce themselves at once.
        std::chrono::duration<double> spread{uniform_real(random_) * max_announce_spread_s};
        next_announce_ = now + std::chrono::duration_cast<duration>(spread);
        if (!std::exchange(has_rechecked_candidates_, true)) {
            candidates.read_now();
            return;
        }
    }
    is_announcing_ = true;
    auto request =
        store_codec::append_request(candidate_topic_name(), std::nullopt, fleet_.self().id.value(),
                                    encode_candidate(fleet_.self()));
    store_.call(std::move(request), seconds{1},
                [this, alive = alive_](const result<http_response>& response) {
                    if (!*alive) {
                        return;
                    }
                    is_announcing_ = false;
                    next_announce_ = loop_.now() + announce_retry_interval;
                    if (response.has_value() && response.value().head.status == 200) {
                        log_.line("candidate").decimal("cpu_share", fleet_.self().cpu_share);
                        fleet_.add(fleet_.self());
                        // Others may have announced themselves meanwhile.
                        topic(shared_topic::candidates).read_now();
                    }
                });
}

auto store_replicator::readers_before() const -> std::optional<std::size_t>
{
    const auto& order = fleet_.ranking(reader_role);
    auto rank = fleet_.position_in(order);
    if (!rank) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(
        std::count_if(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(*rank),
                      [this](const auto& it) { return mesh_.is_up(it); }));
}

auto store_replicator::update_fallback_delays() -> void
{
    auto rank = readers_before();
    for (auto it : all_topics) {
        auto n = index(it);
        auto fallback_delay = subscriber_fallback_delay;
        if (rank) {
            fallback_delay =
                base_fallback_delays[n] - fallback_delay_step + extra_fallback_delay(*rank);
        } else if (it == shared_topic::candidates) {
            fallback_delay = base_fallback_delays[n];
        }
        if (it == shared_topic::coordination && is_coordinator_) {
            fallback_delay = coordinator_read_interval;
        }
        topic(it).set_fallback_delay(fallback_delay);
        // While candidates are alive, they read the store for this instance.
        if (!rank) {
            topic(it).extend_fallback(candidate_alive_at_);
        }
    }
}

auto store_replicator::tick(time_point now) -> void
{
    announce();
    bool is_settled =
        topic(shared_topic::candidates).is_loaded() &&
        (!fleet_.should_announce(now, unreachable_before_announce) || fleet_.is_announced());
    if (is_settled) {
        start_topics();
    }
    if (fleet_.revision() != seen_fleet_revision_) {
        seen_fleet_revision_ = fleet_.revision();
        mesh_.set_is_candidate(fleet_.is_member());
    }
    mesh_.set_candidates(fleet_.connection_targets(now));
    if (!is_started_) {
        return;
    }
    update_fallback_delays();
    if (fleet_.is_member()) {
        source_.reset();
        report_subscriber_count(now);
    } else {
        choose_source(now);
        check_progress(now);
    }
    if (now >= next_keepalive_) {
        next_keepalive_ = now + keepalive_interval;
        if (can_receive_updates(now)) {
            send_to_subscribers(subscription_keepalive{store_.era()});
        }
    }
}

auto store_replicator::can_receive_updates(time_point now) const -> bool
{
    auto others = fleet_.members();
    std::erase_if(others, [this](const auto* it) { return it->id == fleet_.self().id; });
    bool is_any_reachable =
        std::ranges::any_of(others, [this](const auto* it) { return fleet_.is_reachable(it->id); });
    auto alive_at = std::max(candidate_alive_at_, topic(shared_topic::servers).last_read());
    return others.empty() || is_any_reachable || now < alive_at + source_timeout;
}

auto store_replicator::set_coordinator(bool is_coordinator) -> void
{
    if (std::exchange(is_coordinator_, is_coordinator) == is_coordinator) {
        return;
    }
    auto& own = topic(shared_topic::coordination);
    own.set_long_poll_time(is_coordinator ? coordinator_long_poll_time : own_long_poll_time);
    own.set_min_read_interval(is_coordinator ? coordinator_read_interval : own_read_interval);
    if (is_coordinator) {
        // A long poll in progress may end too late to confirm the role.
        own.read_now();
    }
}

auto store_replicator::refresh_coordination() -> void
{
    auto now = loop_.now();
    if (fleet_.is_member() && now >= next_refresh_) {
        next_refresh_ = now + refresh_interval;
        topic(shared_topic::coordination).read_now();
    }
}

auto store_replicator::age(shared_topic it) const -> duration
{
    return loop_.now() - topic(it).last_read();
}

auto store_replicator::on_link(const instance_id& node, bool is_up) -> void
{
    fleet_.set_reachable(node, is_up, loop_.now());
    if (!is_up && source_ == node) {
        source_.reset();
        next_switch_ = {};
        choose_source(loop_.now());
    }
    if (is_up && fleet_.is_member() && !topic(shared_topic::servers).is_loaded()) {
        // A candidate that starts loads its copies from the first candidate that it reaches.
        subscribe(node);
    } else if (is_up && is_started_ && !source_ && !fleet_.is_member()) {
        choose_source(loop_.now());
    }
}

auto store_replicator::sources() const -> std::vector<instance_id>
{
    // Spreads the instances of a zone over its candidates.
    auto rotation = std::hash<std::string>{}(fleet_.self().id.value()) % 1024;
    auto usable = fleet_.zone_ranking(fleet_.self().zone, rotation);
    std::erase_if(usable, [this](const auto& id) { return !mesh_.accepts_work(id); });
    return usable;
}

auto store_replicator::choose_source(time_point now) -> void
{
    bool is_source_unresponsive = source_ && now > source_last_received_at_ + source_timeout;
    if ((source_ && !is_source_unresponsive) || now < next_switch_) {
        return;
    }
    auto order = sources();
    if (order.empty()) {
        source_.reset();
        return;
    }
    next_switch_ = now + source_switch_interval;
    if (is_source_unresponsive) {
        ++source_attempts_;
    }
    subscribe(order[source_attempts_ % order.size()]);
}

auto store_replicator::check_progress(time_point now) -> void
{
    if (!source_) {
        return;
    }
    if (auto better = lag_monitor_.find_source_ahead(now)) {
        if (*better != *source_ && mesh_.accepts_work(*better)) {
            log_.line("news-behind").text("peer", source_->value()).text("better", better->value());
            subscribe(*better);
        }
        lag_monitor_.on_source_change(now);
    }
    if (now < next_check_) {
        return;
    }
    next_check_ = now + check_interval;
    auto others = sources();
    std::erase(others, *source_);
    if (!others.empty()) {
        mesh_.send(others[peer_checks_++ % others.size()], progress_query{});
    }
}

auto store_replicator::subscribe(const instance_id& to) -> void
{
    auto previous = std::exchange(source_, to);
    if (previous && *previous != to) {
        mesh_.send(*previous, update_subscription{});
    }
    source_last_received_at_ = loop_.now();
    update_subscription wanted;
    for (auto it : all_topics) {
        auto& copy = topic(it);
        bool has_copy = copy.is_loaded() && !copy.awaits_copy();
        wanted.topics.emplace_back(it, has_copy ? std::optional{copy.end()} : std::nullopt);
        if (!fleet_.is_member()) {
            copy.follow_peers();
        }
    }
    mesh_.send(to, wanted);
    log_.line("news-source").text("peer", to.value());
}

auto store_replicator::report_subscriber_count(time_point now) -> void
{
    if (now < next_report_) {
        return;
    }
    next_report_ = now + report_interval;
    auto own_count = static_cast<std::uint32_t>(subscribers_.size());
    mesh_.send_to_candidates(subscriber_count_report{own_count});
    if (readers_before().value_or(1) > 0) {
        return;
    }
    auto count = own_count;
    for (const auto& [source, subscriber_count] : subscriber_counts_) {
        count += subscriber_count;
    }
    // The count never decreases, so shares of common budgets of instances that left stay unused.
    auto members = static_cast<std::uint32_t>(fleet_.members().size());
    status_.instances = std::max(status_.instances, count + std::max(1U, members));
    mesh_.send_to_candidates(status_);
    send_to_subscribers(status_);
}

auto store_replicator::on_status(const fleet_status& status) -> void
{
    auto instances = std::max(status_.instances, status.instances);
    status_ = status;
    status_.instances = instances;
    send_to_subscribers(status_);
}

auto store_replicator::on_subscriber_count(admission_source from,
                                           const subscriber_count_report& report) -> void
{
    subscriber_counts_[from] = report.instances;
}

auto store_replicator::on_session(admission_source source) -> void
{
    const auto* session = mesh_.find(source);
    if (session == nullptr || !session->is_candidate) {
        return;
    }
    // The instance may have subscribed before it became a candidate.
    subscribers_.erase(source);
    fleet_.add(session->sender);
}

auto store_replicator::on_session_end(admission_source source) -> void
{
    subscribers_.erase(source);
    subscriber_counts_.erase(source);
}

auto store_replicator::is_loaded() const -> bool
{
    return topic(shared_topic::servers).is_loaded() && topic(shared_topic::operators).is_loaded();
}

} // namespace cornelswitch
