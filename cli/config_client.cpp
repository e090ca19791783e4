#include "cli/config_client.h"

#include "config/configuration_reader.h"
#include "config/configuration_writer.h"

namespace cornelswitch {

namespace {

constexpr std::size_t page_size = 200;
constexpr int max_append_attempts = 4;
constexpr auto read_step = "config-read";

} // namespace

config_client::config_client(blocking_log& log, record_header writer)
    : log_{log}, writer_{std::move(writer)}
{
}

auto config_client::refresh() -> result<void>
{
    while (true) {
        auto page = log_.read(log_stream::config, state_.end(), page_size, duration::zero());
        if (page.has_error()) {
            return page.error();
        }
        if (page.value().first > state_.end()) {
            BOOST_OUTCOME_TRYV(restart_from_snapshot(page.value().first));
            continue;
        }
        for (const auto& it : page.value().records) {
            apply(it);
        }
        if (state_.end() >= page.value().end) {
            return success();
        }
        if (page.value().records.empty()) {
            return error{error_code::invalid_message, read_step, "",
                         "the log returned no records before its end"};
        }
    }
}

auto config_client::restart_from_snapshot(log_offset first) -> result<void>
{
    auto at = first;
    while (true) {
        auto page = log_.read(log_stream::config, at, page_size, duration::zero());
        if (page.has_error()) {
            return page.error();
        }
        for (const auto& it : page.value().records) {
            auto decoded = decode_config_record(it.data);
            if (decoded.has_error()) {
                continue;
            }
            const auto* snapshot = std::get_if<config_snapshot>(&decoded.value().body);
            if (snapshot != nullptr && snapshot->end >= page.value().first &&
                snapshot->end <= it.offset) {
                state_ = config_state{*snapshot};
                current_writer_ = decoded.value().header;
                return success();
            }
        }
        if (page.value().records.empty()) {
            return error{error_code::not_found, read_step, "",
                         "log retention has dropped the configuration and no snapshot is left"};
        }
        at = log_offset{page.value().records.back().offset.value() + 1};
    }
}

auto config_client::apply(const log_record& record) -> void
{
    auto outcome = state_.apply(record.offset, record.data);
    if (outcome.status == apply_status::accepted && outcome.accepted_items > 0) {
        current_writer_ = outcome.header;
    }
    if (outcome.header != writer_ || outcome_ || outcome.status == apply_status::duplicate) {
        return;
    }
    outcome_ = publish_outcome{outcome.status == apply_status::accepted, state_.version(),
                               current_writer_};
}

auto config_client::current() const -> result<configuration>
{
    if (state_.version() == config_version{}) {
        return configuration{};
    }
    auto out = read_configuration(state_.text(), "published configuration");
    if (out.has_error()) {
        return error{error_code::invalid_message, read_step, "", to_text(out.error())};
    }
    return std::move(out.value());
}

auto config_client::publish(const std::string& text, config_version expected)
    -> result<publish_outcome>
{
    constexpr auto step = "config-publish";
    if (text.size() > max_config_bytes) {
        return error{error_code::too_large, step, "",
                     std::to_string(text.size()) + " bytes, allowed " +
                         std::to_string(max_config_bytes)};
    }
    writer_.sequence = writer_sequence{writer_.sequence.value() + 1};
    outcome_.reset();
    auto data = encode_config_record({writer_, config_change{expected, text}});
    error last{error_code::unavailable, step, "", ""};
    for (auto attempt = 0; attempt < max_append_attempts && !outcome_; ++attempt) {
        auto appended = log_.append(log_stream::config, data);
        auto read = refresh();
        if (read.has_error()) {
            last = read.error();
        } else if (appended.has_error()) {
            last = appended.error();
        }
    }
    if (!outcome_) {
        last.step = step;
        last.message += " (the record may still be accepted; read the configuration before "
                        "publishing again)";
        return last;
    }
    return *outcome_;
}

auto config_client::edit(const edit_function& edit) -> result<config_version>
{
    for (auto attempt = 0; attempt < max_conflicts; ++attempt) {
        BOOST_OUTCOME_TRYV(refresh());
        if (state_.version() == config_version{}) {
            return error{error_code::not_found, "config-edit", "", "no configuration is published"};
        }
        BOOST_OUTCOME_TRY(value, current());
        BOOST_OUTCOME_TRY(changed, edit(value));
        if (!changed) {
            return state_.version();
        }
        BOOST_OUTCOME_TRY(outcome, publish(write_configuration(value), state_.version()));
        if (outcome.published) {
            return outcome.version;
        }
    }
    return error{error_code::conflict, "config-edit", "",
                 "the edit lost to concurrent changes " + std::to_string(max_conflicts) +
                     " times in a row"};
}

} // namespace cornelswitch
