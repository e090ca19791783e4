#include "daemon/log_driver.h"

#include <string>

namespace cornelswitch {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds{50};

} // namespace

log_driver::log_driver(event_loop& loop, log_service& log, const cell_member& self,
                       logger& diagnostics, hooks handlers)
    : loop_{loop}, log_{log}, diagnostics_{diagnostics}, hooks_{std::move(handlers)},
      follower_{self.instance, self.boot, log_follower::settings{}}, timers_{loop}
{
}

auto log_driver::start() -> void
{
    tick();
}

auto log_driver::tick() -> void
{
    run(follower_.tick(loop_.now()));
    timers_.schedule(tick_interval, [this] { tick(); });
}

auto log_driver::submit(const record_body& body, duration limit, settled_handler handler)
    -> result<void>
{
    auto sequence = follower_.submit(body, loop_.now() + limit);
    if (sequence.has_error()) {
        return sequence.error();
    }
    pending_appends_[sequence.value()] = std::move(handler);
    // Sends the record immediately instead of at the next tick.
    run(follower_.tick(loop_.now()));
    return success();
}

auto log_driver::on_state_copy(std::string_view bytes) -> void
{
    run(follower_.on_state_copy(bytes, loop_.now()));
}

auto log_driver::run(log_actions actions) -> void
{
    for (const auto& action : actions) {
        std::visit([this](const auto& it) { run(it); }, action);
    }
}

auto log_driver::run(const read_log& action) -> void
{
    auto on_page = [this, stream = action.stream, token = action.token](result<log_page> page) {
        reachable_ = page.has_value();
        if (reachable_) {
            last_answer_ = loop_.now();
        } else {
            diagnostics_.log(log_level::debug, "log-read", page.error().peer, page.error().message);
        }
        run(follower_.on_page(stream, token, page, loop_.now()));
        report_caught_up();
    };
    log_.read(action.stream, action.from, action.limit, action.wait, on_page);
}

auto log_driver::run(const append_log& action) -> void
{
    auto on_answer = [this, action](const result<log_offset>& answer) {
        if (answer.has_error()) {
            diagnostics_.log(log_level::warning, "log-append", answer.error().peer,
                             answer.error().message);
        }
        run(follower_.on_appended(action.stream, action.sequence, action.attempt, answer,
                                  loop_.now()));
    };
    log_.append(action.stream, action.data, on_answer);
}

auto log_driver::run(const append_settled& action) -> void
{
    auto it = pending_appends_.find(action.sequence);
    if (action.stream != log_stream::ownership || it == pending_appends_.end()) {
        return;
    }
    if (action.outcome == append_outcome::unknown) {
        it->second(action);
        return;
    }
    auto handler = std::move(it->second);
    pending_appends_.erase(it);
    handler(action);
}

auto log_driver::run(const stream_changed& action) -> void
{
    hooks_.on_stream_changed(action.stream);
}

auto log_driver::run(const request_state_copy&) -> void
{
    hooks_.on_state_copy_needed();
}

auto log_driver::report_caught_up() -> void
{
    auto caught_up_at = follower_.caught_up_at(log_stream::ownership);
    if (caught_up_at && caught_up_at != reported_caught_up_at_) {
        reported_caught_up_at_ = caught_up_at;
        hooks_.on_caught_up(*caught_up_at);
    }
}

} // namespace cornelswitch
