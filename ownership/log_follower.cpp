#include "ownership/log_follower.h"

#include "ownership/snapshot_codec.h"
#include "ownership/state_copy.h"

#include <algorithm>

namespace cornelswitch {

namespace {

// Reserved for the record header, because the size is checked before the header is known.
constexpr std::size_t header_bytes = 1024;
constexpr std::size_t max_submitted_bytes = max_record_bytes - header_bytes;

} // namespace

log_follower::log_follower(const instance_id& self, boot_id boot, const settings& options)
    : options_{options}, config_{self, boot, options}, ownership_{self, boot, options}
{
}

auto log_follower::tick(time_point now) -> log_actions
{
    log_actions out;
    collect_actions(now, out);
    return out;
}

auto log_follower::on_page(log_stream stream, std::uint64_t token, const result<log_page>& page,
                           time_point now) -> log_actions
{
    log_actions out;
    auto& reader = stream == log_stream::config ? config_.reader : ownership_.reader;
    reader.on_page(token, page, now, out);
    collect_actions(now, out);
    return out;
}

auto log_follower::on_appended(log_stream stream, writer_sequence sequence, std::uint32_t attempt,
                               const result<log_offset>& answer, time_point now) -> log_actions
{
    log_actions out;
    auto& writer = stream == log_stream::config ? config_.writer : ownership_.writer;
    writer.on_appended(sequence, attempt, answer, now);
    collect_actions(now, out);
    return out;
}

auto log_follower::on_state_copy(std::string_view bytes, time_point now) -> log_actions
{
    log_actions out;
    auto copy = decode_state_copy(bytes);
    if (!copy) {
        return out;
    }
    if (config_.reader.wants_copy() && config_.stream.install_copy(copy.value().config)) {
        config_.reader.on_copy_installed(out);
    }
    if (ownership_.reader.wants_copy() && ownership_.stream.install_copy(copy.value().ownership)) {
        ownership_.reader.on_copy_installed(out);
    }
    collect_actions(now, out);
    return out;
}

auto log_follower::submit(const record_body& body, time_point deadline) -> result<writer_sequence>
{
    auto size = encode_record({{}, body}).size();
    if (size > max_submitted_bytes) {
        return error{error_code::too_large, "ownership-append", "",
                     "the record has " + std::to_string(size) + " bytes"};
    }
    auto encode = [&body](const record_header& header) { return encode_record({header, body}); };
    return ownership_.writer.submit(encode, deadline);
}

auto log_follower::submit_config(config_version replaces, const std::string& text,
                                 time_point deadline) -> result<writer_sequence>
{
    if (text.size() > max_config_bytes) {
        return error{error_code::too_large, "config-publish", "",
                     "the configuration has " + std::to_string(text.size()) + " bytes, at most " +
                         std::to_string(max_config_bytes) + " are allowed"};
    }
    auto encode = [&](const record_header& header) {
        return encode_config_record({header, config_change{replaces, text}});
    };
    return config_.writer.submit(encode, deadline);
}

auto log_follower::ready() const -> bool
{
    return config_.reader.ready() && ownership_.reader.ready();
}

auto log_follower::caught_up_at() const -> std::optional<time_point>
{
    auto config = caught_up_at(log_stream::config);
    auto ownership = caught_up_at(log_stream::ownership);
    return config && ownership ? std::min(config, ownership) : std::nullopt;
}

auto log_follower::caught_up_at(log_stream stream) const -> std::optional<time_point>
{
    return stream == log_stream::config ? config_.reader.caught_up_at()
                                        : ownership_.reader.caught_up_at();
}

auto log_follower::copy_state() const -> std::optional<std::string>
{
    if (!ready()) {
        return std::nullopt;
    }
    auto ownership = snapshot_codec::encode(ownership_.stream.state());
    return encode_state_copy({config_.stream.state().snapshot(), std::move(ownership)});
}

template<typename channel_type>
auto log_follower::tick_channel(channel_type& it, time_point now, log_actions& out) -> void
{
    it.snapshots.tick(snapshot_writer_, now);
    it.writer.tick(now, out);
    it.reader.tick(now, out);
}

auto log_follower::collect_actions(time_point now, log_actions& out) -> void
{
    tick_channel(config_, now, out);
    tick_channel(ownership_, now, out);
    for (const auto& it : out) {
        const auto* settled = std::get_if<append_settled>(&it);
        if (settled == nullptr) {
            continue;
        }
        if (settled->stream == log_stream::config) {
            config_.snapshots.on_settled(*settled);
        } else {
            ownership_.snapshots.on_settled(*settled);
        }
    }
    request_copy(now, out);
}

auto log_follower::request_copy(time_point now, log_actions& out) -> void
{
    if (!config_.reader.wants_copy() && !ownership_.reader.wants_copy()) {
        return;
    }
    if (copy_requested_at_ && now - *copy_requested_at_ < options_.state_copy_interval) {
        return;
    }
    copy_requested_at_ = now;
    out.emplace_back(request_state_copy{});
}

} // namespace cornelswitch
