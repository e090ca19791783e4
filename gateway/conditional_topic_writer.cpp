#include "gateway/conditional_topic_writer.h"

#include <algorithm>

namespace cornelswitch {

namespace {

constexpr duration append_timeout = std::chrono::milliseconds{1000};

} // namespace

conditional_topic_writer::conditional_topic_writer(event_loop& loop, store_client& store,
                                                   event_log& log, std::string topic)
    : loop_{loop}, store_{store}, log_{log}, topic_{std::move(topic)}
{
}

auto conditional_topic_writer::write(const std::string& key, value_function value,
                                     done_function done) -> void
{
    auto it = std::ranges::find(queue_, key, &pending_write::key);
    if (it != queue_.end()) {
        *it = {key, std::move(value), std::move(done)};
        return;
    }
    queue_.push_back({key, std::move(value), std::move(done)});
    start_next_write();
}

auto conditional_topic_writer::on_store_era() -> void
{
    last_append_end_ = {};
    needs_read_ = true;
}

auto conditional_topic_writer::on_copy_updated() -> void
{
    needs_read_ = false;
    start_next_write();
}

auto conditional_topic_writer::start_next_write() -> void
{
    if (is_busy_ || needs_read_ || queue_.empty() || topic_copy_ == nullptr ||
        !topic_copy_->is_loaded() || topic_copy_->awaits_copy()) {
        return;
    }
    auto it = std::move(queue_.front());
    queue_.pop_front();
    auto value = it.value();
    if (!value) {
        start_next_write();
        return;
    }
    is_busy_ = true;
    ++writes_;
    auto expected_end = std::max(topic_copy_->end(), last_append_end_);
    auto request = store_codec::append_request(topic_, expected_end, it.key, *value);
    store_.call(std::move(request), append_timeout,
                [this, it = std::move(it), sent_at = loop_.now(),
                 alive = alive_](result<http_response> answer) mutable {
                    if (!*alive) {
                        return;
                    }
                    is_busy_ = false;
                    auto outcome = answer.has_value() ? store_codec::decode_append(answer.value())
                                                      : result<store_append_result>{answer.error()};
                    if (outcome.has_value() && outcome.value().is_stored) {
                        last_append_end_ = outcome.value().end;
                        it.done(sent_at);
                        start_next_write();
                        return;
                    }
                    log_.line("store-append-failed")
                        .text("key", it.key)
                        .text("cause", outcome.has_error() ? outcome.error().message
                                                           : "records on the topic are unread");
                    // The read shows whether the append took effect or another instance's came
                    // first. The value function then decides whether to write again.
                    bool is_read = outcome.has_value() && outcome.value().end <= topic_copy_->end();
                    bool is_replaced =
                        std::ranges::find(queue_, it.key, &pending_write::key) != queue_.end();
                    if (!is_replaced) {
                        queue_.push_front(std::move(it));
                    }
                    if (is_read) {
                        start_next_write();
                        return;
                    }
                    needs_read_ = true;
                    topic_copy_->read_now();
                });
}

} // namespace cornelswitch
