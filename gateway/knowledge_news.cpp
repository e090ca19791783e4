#include "gateway/knowledge.h"
#include "gateway/news_packing.h"

#include "platform/discovery_codec.h"

#include <algorithm>

namespace cornelswitch {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kept_batches = 16;
/// Missing news are asked for at most this often.
constexpr duration catch_up_interval = milliseconds{150};

} // namespace

auto knowledge::on_own_read(shared_topic it, const changes& records, log_offset from,
                            log_offset end, bool is_reload) -> void
{
    // A coordinator reads the services' records for itself; others need them from one instance
    // only.
    auto told = topic(it).told_at();
    bool is_for_itself = it == shared_topic::own && is_coordinator_ && records.empty();
    if (is_for_itself && told && reader_place().value_or(1) > 0) {
        return;
    }
    topic_news news;
    news.topic = it;
    news.from = from;
    news.end = end;
    news.age = loop_.now() - topic(it).read_started();
    news.is_reload = is_reload;
    for (const auto& record : records) {
        if (it == shared_topic::servers) {
            auto& last = passed_entries_[record.key];
            // Most heartbeats change nothing but their number.
            if (!record.value.empty() && is_same_but_sequence(last, record.value)) {
                continue;
            }
            last = record.value;
        }
        news.records.emplace_back(record.key, record.value);
    }
    news.is_first_hand = true;
    pack_news(news, [&](const std::string& key) -> const std::string* {
        auto found = std::ranges::find(records, key, &store_topic::change::key);
        return found == records.end() ? nullptr : &found->previous;
    });
    mesh_.to_candidates(news);
    pass_on(std::move(news));
}

auto knowledge::pass_on(topic_news news) -> void
{
    news.is_first_hand = false;
    auto n = index(news.topic);
    auto& recent = recent_[n];
    recent.push_back({news.from, news.end, news.records, news.is_reload});
    if (recent.size() > kept_batches) {
        recent.pop_front();
    }
    for (auto& [source, it] : audience_) {
        if (it.wants[n] && !it.is_in_step[n]) {
            send_whole(source, news.topic);
            // This one has the news now and must not get them twice.
            it.is_new[n] = true;
        }
    }
    mesh_.broadcast(news, [&](const peer_mesh::session& to) {
        auto it = audience_.find(to.source);
        return it != audience_.end() && it->second.wants[n] &&
               !std::exchange(it->second.is_new[n], false);
    });
    next_pause_ = loop_.now() + pause_interval;
}

auto knowledge::send_whole(admission_source to, shared_topic it) -> void
{
    const auto& from = topic(it);
    topic_news news;
    news.topic = it;
    news.end = from.end();
    news.age = age(it);
    news.is_whole = true;
    news.records = from.all();
    pack_news(news, {});
    mesh_.answer(to, news);
    if (auto found = audience_.find(to); found != audience_.end()) {
        found->second.is_in_step[index(it)] = true;
    }
}

auto knowledge::send_rest(admission_source to, shared_topic it, log_offset end) -> bool
{
    const auto& recent = recent_[index(it)];
    auto first = std::ranges::find(recent, end, &batch::from);
    if (end != topic(it).end() && first == recent.end()) {
        return false;
    }
    for (auto next = first; next != recent.end(); ++next) {
        // Without records they said that all was fresh when they were read, which is past.
        if (next->records.empty() && next->from == next->end) {
            continue;
        }
        topic_news news;
        news.topic = it;
        news.from = next->from;
        news.end = next->end;
        news.age = age(it);
        news.is_reload = next->is_reload;
        news.records = next->records;
        pack_news(news, {});
        mesh_.answer(to, news);
    }
    return true;
}

auto knowledge::on_subscription(admission_source from, const news_subscription& wanted) -> void
{
    const auto* session = mesh_.find(from);
    if (session == nullptr) {
        return;
    }
    if (wanted.topics.empty()) {
        audience_.erase(from);
        return;
    }
    // A candidate gets news at first hand from whoever reads; it only catches up here.
    bool stays = !session->is_candidate;
    for (const auto& [it, end] : wanted.topics) {
        auto n = index(it);
        if (stays) {
            audience_[from].wants[n] = true;
            audience_[from].is_in_step[n] = false;
        }
        if (!topic(it).is_loaded()) {
            continue;
        }
        if (!end || !send_rest(from, it, *end)) {
            send_whole(from, it);
        }
        if (stays) {
            audience_[from].is_in_step[n] = true;
        }
    }
}

auto knowledge::accept(store_topic& copy, const topic_news& news) -> bool
{
    return news.is_whole ? copy.accept_whole(news.end, news.records, news.age)
                         : copy.accept(news.from, news.end, news.records, news.age, news.is_reload);
}

auto knowledge::on_news(const instance_id& from, topic_news news) -> void
{
    auto now = loop_.now();
    if (source_ == from) {
        source_heard_at_ = now;
    }
    fed_at_ = std::max(fed_at_, now - news.age);
    // A coordinator needs proof of its role from the store itself.
    if (news.topic == shared_topic::own && is_coordinator_) {
        return;
    }
    auto& copy = topic(news.topic);
    auto before = copy.end();
    bool was_loaded = copy.is_loaded();
    told_by_[index(news.topic)] = from;
    auto unpacked = unpack_news(news, [&](const std::string& key) -> const std::string* {
        auto found = copy.records().find(key);
        return found == copy.records().end() ? nullptr : &found->second;
    });
    bool is_taken = unpacked.has_value() && accept(copy, news);
    lag_monitor_.on_own_progress(index(news.topic), copy.end());
    if (is_taken) {
        if (news.topic == shared_topic::servers) {
            for (const auto& [key, value] : news.records) {
                passed_entries_[key] = value;
            }
        }
        // News that came twice are passed on once; those without records say that they are fresh.
        bool is_new = copy.end() != before || !was_loaded || news.records.empty();
        if (is_new && (news.is_first_hand || !was_loaded)) {
            pass_on(std::move(news));
        }
        return;
    }
    if (!fleet_.is_member() && source_ && *source_ != from) {
        // The rest of the news of an earlier source; the present one sends what is missing.
        return;
    }
    bool has_other_base = unpacked.has_error() && news.end > before;
    bool lacks_earlier = !was_loaded || news.from > before || has_other_base ||
                         (news.is_reload && news.end > before);
    if (lacks_earlier && now >= next_catch_up_[index(news.topic)]) {
        next_catch_up_[index(news.topic)] = now + catch_up_interval;
        news_subscription wanted;
        wanted.topics.emplace_back(news.topic, was_loaded ? std::optional{before} : std::nullopt);
        mesh_.send(from, wanted);
    }
}

auto knowledge::source_of(shared_topic it) const -> std::string
{
    return topic(it).told_at() ? told_by_[index(it)].value() : "store";
}

auto knowledge::on_pause(const instance_id& from) -> void
{
    fed_at_ = loop_.now();
    if (source_ == from) {
        source_heard_at_ = fed_at_;
    }
}

auto knowledge::on_progress_query(admission_source from) -> void
{
    progress_report report;
    for (auto it : {shared_topic::servers, shared_topic::operators, shared_topic::own}) {
        if (topic(it).is_loaded()) {
            report.ends.emplace_back(it, topic(it).end());
        }
    }
    mesh_.answer(from, report);
}

auto knowledge::on_progress(const instance_id& from, const progress_report& report) -> void
{
    for (const auto& [it, end] : report.ends) {
        if (topic(it).is_loaded()) {
            lag_monitor_.on_peer_report(from, index(it), end, topic(it).end(), loop_.now());
        }
    }
}

auto knowledge::to_audience(const peer_message& message) -> void
{
    if (audience_.empty()) {
        return;
    }
    mesh_.broadcast(message,
                    [this](const peer_mesh::session& to) { return audience_.contains(to.source); });
}

} // namespace cornelswitch
