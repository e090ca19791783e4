#include "gateway/caller_exchange.h"

#include "adapters/response_status.h"

#include <array>
#include <cstdio>
#include <utility>

namespace cornelswitch {

namespace {

/// Responses up to this size are buffered until they are complete, so that a truncated one can be
/// replaced by a retry on another server.
constexpr std::size_t max_buffered_response = 32 * 1024;
/// Number of bytes held back above which reading from the server pauses.
constexpr std::size_t max_held_back_bytes = 256 * 1024;
/// The same limit while memory is short; it also replaces `max_buffered_response` then.
constexpr std::size_t max_bytes_under_pressure = 4 * 1024;

auto encode_chunk(std::string_view bytes) -> std::string
{
    std::array<char, 24> size{};
    auto n = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string out{size.data(), static_cast<std::size_t>(n)};
    out.append(bytes).append("\r\n");
    return out;
}

} // namespace

auto caller_exchange::on_head(http1_head head, const server_response_info& info) -> void
{
    service_time_ = services_.loop.now() - sent_at_;
    response_ = std::move(head);
    response_info_ = info;
    if (info.has_announced_shutdown) {
        services_.admissions.on_server_leaving(service_, server_, server_incarnation_);
    }
    services_.directory.on_hold_off(server_, info.hold_off, services_.loop.now());
    is_discarding_ = info.is_not_run;
    if (is_discarding_) {
        note_rate_limit(info);
        return;
    }
    bool is_success = response_.status >= 200 && response_.status < 300;
    bool is_invalid =
        info.has_content_encoding || (is_success && (info.request_id.empty() || !info.is_sealed));
    if (is_invalid) {
        attempt_->cancel();
        on_failure(attempt_outcome::broken, false,
                   "response is encoded or lacks the server's request id or seal");
        return;
    }
    note_rate_limit(info);
    if (promises_no_execution(response_.status) && !is_idempotent()) {
        replace_response();
        return;
    }
    phase_ = phase::responding;
    if (response_.framing == body_framing::length && response_.length > max_buffered_response) {
        stream_response();
    }
}

auto caller_exchange::replace_response() -> void
{
    services_.log.request_line("response-replaced")
        .text("id", info_.id)
        .text("server", server_.value())
        .number("status", response_.status)
        .text("cause", "server did not state that the request was not executed");
    report(attempt_outcome::answered);
    attempt_->discard_response();
    respond(502, "server-error", std::nullopt);
}

auto caller_exchange::note_rate_limit(const server_response_info& info) -> void
{
    if (info.has_malformed_rate_limit) {
        services_.log.request_line("rate-limit-malformed")
            .text("id", info_.id)
            .text("server", server_.value());
        return;
    }
    if (info.server && *info.server != server_) {
        return;
    }
    answered_at_ = services_.loop.now();
    rate_limit_ = rate_limit_notice{};
    if (info.rate_limit) {
        rate_limit_->limit = request_rate{*info.rate_limit};
    }
}

auto caller_exchange::stream_response() -> void
{
    if (output_.is_next()) {
        commit_response();
        return;
    }
    // A response that breaks off is replaced as long as the caller has seen nothing of it; the
    // earlier requests of its connection are not affected.
    is_held_back_ = true;
}

auto caller_exchange::commit_response() -> void
{
    if (is_committed_) {
        return;
    }
    is_committed_ = true;
    is_held_back_ = false;
    is_response_chunked_ = response_.framing == body_framing::chunked ||
                           response_.framing == body_framing::until_close;
    auto framing = is_response_chunked_ ? body_framing::chunked : response_.framing;
    output_.write(encode_caller_response(response_, framing, keeps_connection_));
    if (!response_body_.empty()) {
        auto bytes = std::exchange(response_body_, {});
        response_memory_.resize(0);
        output_.write(is_response_chunked_ ? encode_chunk(bytes) : std::move(bytes));
    }
}

auto caller_exchange::on_body(std::string_view bytes) -> void
{
    if (is_discarding_ || phase_ != phase::responding) {
        return;
    }
    response_bytes_ += bytes.size();
    if (response_.framing != body_framing::length &&
        response_bytes_ > services_.response_limits.max_bytes_without_length) {
        cut_response("response without a content length is too large");
        return;
    }
    if (is_committed_) {
        output_.write(is_response_chunked_ ? encode_chunk(bytes) : std::string{bytes});
        return;
    }
    response_body_.append(bytes);
    response_memory_.resize(response_body_.capacity());
    bool is_short = services_.memory.pressure() != memory_pressure::none;
    if (response_body_.size() > (is_short ? max_bytes_under_pressure : max_buffered_response)) {
        stream_response();
    }
    if (is_held_back_ &&
        response_body_.size() > (is_short ? max_bytes_under_pressure : max_held_back_bytes)) {
        attempt_->set_reading(false);
    }
}

auto caller_exchange::on_end() -> void
{
    if (is_discarding_) {
        on_not_run();
        return;
    }
    if (phase_ != phase::responding) {
        return;
    }
    report(attempt_outcome::answered);
    if (!is_committed_) {
        // The response is complete, so its length is known and no chunked encoding is needed.
        if (response_.framing != body_framing::none) {
            response_.framing = body_framing::length;
            response_.length = head_.method == "HEAD" ? response_.length : response_body_.size();
        }
        auto bytes = encode_caller_response(response_, response_.framing, keeps_connection_);
        bytes.append(response_body_);
        is_committed_ = true;
        output_.write(std::move(bytes));
    } else if (is_response_chunked_) {
        output_.write("0\r\n\r\n");
    }
    finish(response_.status, "answered", "");
}

auto caller_exchange::on_not_run() -> void
{
    bool is_misdirected = response_.status == 421;
    if (is_misdirected) {
        bool is_replaced = response_info_.server && *response_info_.server != server_;
        if (is_replaced) {
            services_.admissions.on_server_ended(service_, server_, server_incarnation_);
        } else if (is_keyed_ && info_.key) {
            services_.admissions.on_key_not_held(service_, server_, *info_.key);
        }
    }
    report(is_misdirected ? attempt_outcome::misdirected : attempt_outcome::shed);
    services_.log.request_line("attempt-not-run")
        .text("id", info_.id)
        .text("server", server_.value())
        .number("status", response_.status)
        .ms("after_ms", service_time_);
    if (!is_keyed_) {
        excluded_.push_back(server_);
    }
    retry_or_respond(503, is_misdirected ? "misdirected" : "server-full", false);
}

} // namespace cornelswitch
