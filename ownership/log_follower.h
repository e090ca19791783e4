#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "ownership/config_stream.h"
#include "ownership/log_actions.h"
#include "ownership/log_writer.h"
#include "ownership/ownership_stream.h"
#include "ownership/records.h"
#include "ownership/snapshot_schedule.h"
#include "ownership/stream_reader.h"

#include <optional>
#include <string>
#include <string_view>

namespace cornelswitch {

/// Follows both streams of the log and writes to them. The class does no I/O: the caller passes in
/// events and the current time, and performs the returned actions. Call `tick` at least every 100
/// ms.
class log_follower {
public:
    struct settings {
        stream_reader::settings reader;
        log_writer::settings writer;
        snapshot_schedule::settings snapshots;
        duration state_copy_interval{std::chrono::seconds{1}};
    };

    log_follower(const instance_id& self, boot_id boot, const settings& options);

    auto tick(time_point now) -> log_actions;
    auto on_page(log_stream stream, std::uint64_t token, const result<log_page>& page,
                 time_point now) -> log_actions;
    auto on_appended(log_stream stream, writer_sequence sequence, std::uint32_t attempt,
                     const result<log_offset>& answer, time_point now) -> log_actions;
    /// Installs the parts of a peer's copy that are not older than the local state. Malformed
    /// copies are ignored.
    auto on_state_copy(std::string_view bytes, time_point now) -> log_actions;

    /// Queues a record of stream `ownership`; its outcome is reported as `append_settled`. Errors:
    /// `unavailable` when too many records are unsettled, `too_large` when the record with its
    /// header might exceed `max_record_bytes`.
    auto submit(const record_body& body, time_point deadline) -> result<writer_sequence>;
    /// Queues a configuration that replaces version `replaces`. Errors: `unavailable` when too many
    /// records are unsettled, `too_large` for more than `max_config_bytes`.
    auto submit_config(config_version replaces, const std::string& text, time_point deadline)
        -> result<writer_sequence>;

    /// Sets whether this instance writes snapshots. One instance of the deployment should write
    /// them.
    auto set_snapshot_writer(bool enabled) -> void { snapshot_writer_ = enabled; }

    /// True once both streams were read to their end or copied from a peer.
    auto ready() const -> bool;
    /// Start time of the last read that reached the end of the log; the earlier of those of the two
    /// streams. Empty while a stream has had no such read.
    auto caught_up_at() const -> std::optional<time_point>;
    auto caught_up_at(log_stream stream) const -> std::optional<time_point>;

    auto config() const -> const config_state& { return config_.stream.state(); }
    auto ownership() const -> const ownership_state& { return ownership_.stream.state(); }
    /// Encoded state for a peer; empty while this instance is not ready.
    auto copy_state() const -> std::optional<std::string>;

private:
    template<typename stream_type>
    struct channel {
        channel(const instance_id& self, boot_id boot, const settings& options)
            : writer{stream.name(), self, boot, options.writer},
              reader{stream, writer, options.reader}, snapshots{stream, reader, writer,
                                                                options.snapshots}
        {
        }

        stream_type stream;
        log_writer writer;
        stream_reader reader;
        snapshot_schedule snapshots;
    };

    template<typename channel_type>
    auto tick_channel(channel_type& it, time_point now, log_actions& out) -> void;
    auto collect_actions(time_point now, log_actions& out) -> void;
    auto request_copy(time_point now, log_actions& out) -> void;

    settings options_;
    channel<config_stream> config_;
    channel<ownership_stream> ownership_;
    bool snapshot_writer_{false};
    std::optional<time_point> copy_requested_at_;
};

} // namespace cornelswitch
