#include "gateway/knowledge.h"

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
/// leaves must get no request two seconds later, which leaves three of these intervals.
constexpr duration server_pace = milliseconds{600};
/// The store holds the read until a record comes. The wait is short, because a held read shows a
/// silent connection only by its end, and a configuration must be in force within two seconds.
constexpr duration operator_wait = milliseconds{1200};
constexpr duration operator_pace = milliseconds{100};
constexpr duration operator_answer_timeout = milliseconds{700};
constexpr duration own_wait = seconds{15};
constexpr duration own_pace = milliseconds{900};
constexpr duration own_answer_timeout = milliseconds{1200};
constexpr duration candidate_wait = seconds{12};
constexpr duration candidate_pace = seconds{1};
/// A coordinator needs proof of its role within `unconfirmed_moves`.
constexpr duration coordinator_wait = milliseconds{1000};
constexpr duration coordinator_pace = milliseconds{200};
/// Without news for so long, the second candidate reads itself; the first one a step sooner, the
/// next ones a step later each. Whoever reads goes on, so that the others need not.
constexpr std::array<duration, 4> base_patience{milliseconds{900}, milliseconds{1450},
                                                milliseconds{2500}, seconds{14}};
constexpr duration patience_step = milliseconds{150};
constexpr std::size_t most_patience_steps = 3;
/// An instance that is no candidate reads itself after so long without one. It cannot keep within
/// the bounds of a leaving server otherwise.
constexpr duration audience_patience = milliseconds{2200};
/// Without a word from the one that it takes its news from, it turns to another.
constexpr duration source_patience = milliseconds{1300};
constexpr duration switch_interval = milliseconds{700};
/// Another candidate is asked how far it is this often: with the grace for what is on its way, an
/// instance that is behind knows that within a second.
constexpr duration check_interval = milliseconds{500};
constexpr duration report_interval = seconds{1};
/// A doubted coordinator makes an instance read the records at most this often.
constexpr duration refresh_interval = milliseconds{900};
/// At the first start of a deployment small machines let large ones announce themselves: this time
/// divided by the share of a core.
constexpr duration announce_time = milliseconds{50};
/// Small machines announce themselves when no candidate was reached for so long, spread over the
/// same time again, until there are enough.
constexpr double vacancy_s = 3;
constexpr duration vacancy_time = seconds{3};
constexpr std::size_t enough_small = 8;
constexpr duration announce_retry = seconds{1};
/// At the first start of a deployment, other candidates have announced themselves when the first
/// one reads. At any start, it has read before the next ones do.
constexpr duration first_read_delay = milliseconds{150};
constexpr duration next_read_delay = milliseconds{200};
constexpr duration audience_read_delay = milliseconds{2000};
constexpr const char* reader_duty = "store-reader";

constexpr std::array<shared_topic, 4> all_topics{shared_topic::servers, shared_topic::operators,
                                                 shared_topic::own, shared_topic::candidates};

/// Additional patience of a candidate with `before` reachable ones before it.
auto extra_patience(std::size_t before) -> duration
{
    return patience_step * static_cast<int>(std::min(before, most_patience_steps));
}

} // namespace

knowledge::knowledge(event_loop& loop, unary_client& store, event_log& log, random_engine& random,
                     fleet_view& fleet, peer_mesh& mesh, bool is_first_start, hooks receivers)
    : loop_{loop}, store_{store}, log_{log}, random_{random}, fleet_{fleet}, mesh_{mesh},
      is_first_start_{is_first_start}, hooks_{std::move(receivers)}
{
    make_topics();
}

knowledge::~knowledge()
{
    *alive_ = false;
}

auto knowledge::make_topics() -> void
{
    auto make = [this](shared_topic it, topic_options options,
                       std::function<void(const changes&, time_point)> on_read,
                       std::function<void(bool)> on_availability) {
        store_topic::hooks receivers;
        receivers.on_read = std::move(on_read);
        receivers.on_news = [this, it](const changes& records, log_offset from, log_offset end,
                                       bool is_reload) {
            on_own_read(it, records, from, end, is_reload);
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
    topic_options servers{std::string{server_topic_name()}, duration::zero(), server_pace};
    make(
        shared_topic::servers, servers,
        [this](const changes& records, time_point) { hooks_.on_servers(records); },
        [this](bool is_available) { hooks_.on_store(is_available); });
    // The servers' topic shows when the store is back; the others wait for that.
    topic_options operators{std::string{operator_topic_name()},
                            operator_wait,
                            operator_pace,
                            operator_answer_timeout,
                            true,
                            milliseconds{1200}};
    make(shared_topic::operators, operators,
         [this](const changes& records, time_point) { hooks_.on_operators(records); }, {});
    topic_options own{std::string{own_topic_name()},
                      own_wait,
                      own_pace,
                      own_answer_timeout,
                      true,
                      milliseconds{1200}};
    make(shared_topic::own, own,
         [this](const changes& records, time_point proof) { hooks_.on_own(records, proof); }, {});
    topic_options candidates{std::string{candidate_topic_name()},
                             candidate_wait,
                             candidate_pace,
                             own_answer_timeout,
                             true,
                             milliseconds{1200}};
    make(shared_topic::candidates, candidates,
         [this](const changes& records, time_point) { on_candidates(records); }, {});
}

auto knowledge::start() -> void
{
    started_at_ = loop_.now();
    fed_at_ = started_at_;
    auto share = std::max(0.05, fleet_.self().cpu_share);
    auto wait = std::chrono::duration_cast<duration>(announce_time / share);
    next_announce_ = started_at_ + (is_first_start_ ? wait : duration::zero());
    topic(shared_topic::candidates).start(is_first_start_ ? wait : duration::zero());
}

auto knowledge::start_topics() -> void
{
    if (std::exchange(is_started_, true)) {
        return;
    }
    auto place = reader_place();
    auto delay = audience_read_delay;
    if (place) {
        delay = is_first_start_ ? first_read_delay : duration::zero();
        delay += *place == 0 ? duration::zero() : next_read_delay + extra_patience(*place);
    }
    for (auto it : {shared_topic::servers, shared_topic::operators, shared_topic::own}) {
        topic(it).start(delay);
    }
}

auto knowledge::on_candidates(const changes& records) -> void
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

auto knowledge::announce() -> void
{
    auto now = loop_.now();
    auto& known = topic(shared_topic::candidates);
    if (is_announcing_ || now < next_announce_ || !known.is_loaded() ||
        !fleet_.should_announce(now, vacancy_time)) {
        return;
    }
    bool is_large = fleet_.is_large(fleet_.self());
    if (!is_large) {
        if (fleet_.count_small() >= enough_small) {
            return;
        }
        // Not all at once: the first ones are enough for all.
        std::chrono::duration<double> spread{uniform_real(random_) * vacancy_s};
        next_announce_ = now + std::chrono::duration_cast<duration>(spread);
        if (!std::exchange(is_vacancy_seen_, true)) {
            known.hurry();
            return;
        }
    }
    is_announcing_ = true;
    auto request =
        store_codec::append_request(candidate_topic_name(), std::nullopt,
                                    fleet_.self().node.value(), encode_candidate(fleet_.self()));
    store_.call(std::move(request), seconds{1},
                [this, alive = alive_](const result<http_response>& answer) {
                    if (!*alive) {
                        return;
                    }
                    is_announcing_ = false;
                    next_announce_ = loop_.now() + announce_retry;
                    if (answer.has_value() && answer.value().head.status == 200) {
                        log_.line("candidate").real("cpu_share", fleet_.self().cpu_share);
                        fleet_.add(fleet_.self());
                        // Others have announced themselves meanwhile.
                        topic(shared_topic::candidates).hurry();
                    }
                });
}

auto knowledge::reader_place() const -> std::optional<std::size_t>
{
    const auto& order = fleet_.ranking(reader_duty);
    auto place = fleet_.position_in(order);
    if (!place) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(
        std::count_if(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(*place),
                      [this](const auto& it) { return mesh_.is_up(it); }));
}

auto knowledge::set_patience() -> void
{
    auto place = reader_place();
    for (auto it : all_topics) {
        auto n = index(it);
        auto patience = audience_patience;
        if (place) {
            patience = base_patience[n] - patience_step + extra_patience(*place);
        } else if (it == shared_topic::candidates) {
            patience = base_patience[n];
        }
        if (it == shared_topic::own && is_coordinator_) {
            patience = coordinator_pace;
        }
        topic(it).set_patience(patience);
        // Candidates that are alive say so; the store is theirs to read.
        if (!place) {
            topic(it).wait_on(fed_at_);
        }
    }
}

auto knowledge::tick(time_point now) -> void
{
    announce();
    bool is_settled = topic(shared_topic::candidates).is_loaded() &&
                      (!fleet_.should_announce(now, vacancy_time) || fleet_.is_announced());
    if (is_settled) {
        start_topics();
    }
    if (fleet_.revision() != seen_members_) {
        seen_members_ = fleet_.revision();
        mesh_.set_role(fleet_.is_member());
    }
    mesh_.set_candidates(fleet_.connection_targets(now));
    if (!is_started_) {
        return;
    }
    set_patience();
    if (fleet_.is_member()) {
        source_.reset();
        report_audience(now);
    } else {
        choose_source(now);
        check_progress(now);
    }
    if (now >= next_pause_) {
        next_pause_ = now + pause_interval;
        if (would_hear_news(now)) {
            to_audience(news_pause{});
        }
    }
}

auto knowledge::would_hear_news(time_point now) const -> bool
{
    auto others = fleet_.members();
    std::erase_if(others, [this](const auto* it) { return it->node == fleet_.self().node; });
    bool reaches_one = std::ranges::any_of(
        others, [this](const auto* it) { return fleet_.is_reachable(it->node); });
    auto heard = std::max(fed_at_, topic(shared_topic::servers).last_read());
    return others.empty() || reaches_one || now < heard + source_patience;
}

auto knowledge::set_coordinator(bool is_coordinator) -> void
{
    if (std::exchange(is_coordinator_, is_coordinator) == is_coordinator) {
        return;
    }
    auto& own = topic(shared_topic::own);
    own.set_wait(is_coordinator ? coordinator_wait : own_wait);
    own.set_pace(is_coordinator ? coordinator_pace : own_pace);
    if (is_coordinator) {
        // The read in progress may be held for long; the role needs proof sooner.
        own.hurry();
    }
}

auto knowledge::refresh() -> void
{
    auto now = loop_.now();
    if (fleet_.is_member() && now >= next_refresh_) {
        next_refresh_ = now + refresh_interval;
        topic(shared_topic::own).hurry();
    }
}

auto knowledge::age(shared_topic it) const -> duration
{
    return loop_.now() - topic(it).last_read();
}

auto knowledge::on_link(const instance_id& node, bool is_up) -> void
{
    fleet_.set_reachable(node, is_up, loop_.now());
    if (!is_up && source_ == node) {
        source_.reset();
        next_switch_ = {};
        choose_source(loop_.now());
    }
    if (is_up && fleet_.is_member() && !topic(shared_topic::servers).is_loaded()) {
        // A candidate that starts catches up with the first one that it reaches.
        subscribe(node);
    } else if (is_up && is_started_ && !source_ && !fleet_.is_member()) {
        choose_source(loop_.now());
    }
}

auto knowledge::sources() const -> std::vector<instance_id>
{
    // Instances of one zone spread over its candidates.
    auto turn = std::hash<std::string>{}(fleet_.self().node.value()) % 1024;
    auto out = fleet_.zone_ranking(fleet_.self().zone, turn);
    std::erase_if(out, [this](const auto& it) { return !mesh_.accepts_work(it); });
    return out;
}

auto knowledge::choose_source(time_point now) -> void
{
    bool is_silent = source_ && now > source_heard_at_ + source_patience;
    if ((source_ && !is_silent) || now < next_switch_) {
        return;
    }
    auto order = sources();
    if (order.empty()) {
        source_.reset();
        return;
    }
    next_switch_ = now + switch_interval;
    if (is_silent) {
        ++source_turn_;
    }
    subscribe(order[source_turn_ % order.size()]);
}

auto knowledge::check_progress(time_point now) -> void
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
        mesh_.send(others[check_turn_++ % others.size()], progress_query{});
    }
}

auto knowledge::subscribe(const instance_id& to) -> void
{
    auto earlier = std::exchange(source_, to);
    if (earlier && *earlier != to) {
        mesh_.send(*earlier, news_subscription{});
    }
    source_heard_at_ = loop_.now();
    news_subscription wanted;
    for (auto it : all_topics) {
        auto& copy = topic(it);
        wanted.topics.emplace_back(it, copy.is_loaded() ? std::optional{copy.end()} : std::nullopt);
        if (!fleet_.is_member()) {
            copy.rely_on_others();
        }
    }
    mesh_.send(to, wanted);
    log_.line("news-source").text("peer", to.value());
}

auto knowledge::report_audience(time_point now) -> void
{
    if (now < next_report_) {
        return;
    }
    next_report_ = now + report_interval;
    auto own = static_cast<std::uint32_t>(audience_.size());
    mesh_.to_candidates(audience_report{own});
    if (reader_place().value_or(1) > 0) {
        return;
    }
    auto count = own;
    for (const auto& [source, n] : audience_sizes_) {
        count += n;
    }
    // Instances that left are still counted: their parts of common budgets stay unused.
    auto members = static_cast<std::uint32_t>(fleet_.members().size());
    status_.instances = std::max(status_.instances, count + std::max(1U, members));
    mesh_.to_candidates(status_);
    to_audience(status_);
}

auto knowledge::on_status(const fleet_status& status) -> void
{
    auto instances = std::max(status_.instances, status.instances);
    status_ = status;
    status_.instances = instances;
    to_audience(status_);
}

auto knowledge::on_audience(admission_source from, const audience_report& report) -> void
{
    audience_sizes_[from] = report.instances;
}

auto knowledge::on_session(admission_source source) -> void
{
    const auto* session = mesh_.find(source);
    if (session == nullptr || !session->is_candidate) {
        return;
    }
    // It said before that it was none.
    audience_.erase(source);
    fleet_.add(session->sender);
}

auto knowledge::on_session_end(admission_source source) -> void
{
    audience_.erase(source);
    audience_sizes_.erase(source);
}

auto knowledge::is_loaded() const -> bool
{
    return topic(shared_topic::servers).is_loaded() && topic(shared_topic::operators).is_loaded();
}

} // namespace cornelswitch
