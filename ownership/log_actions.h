#pragma once

#include "config/apply_result.h"
#include "core/clock.h"
#include "core/ids.h"
#include "ownership/log_service.h"

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace cornelswitch {

/// Encodes a record with the header that its writer assigns.
using record_encoder = std::function<std::string(const record_header&)>;

/// Requests a read of the stream. The result is passed to `log_follower::on_page` with the same
/// token.
struct read_log {
    log_stream stream{log_stream::config};
    std::uint64_t token{0};
    log_offset from;
    std::size_t limit{0};
    duration wait{0};
};

/// Requests an append to the stream. The result is passed to `log_follower::on_appended` with the
/// same sequence and attempt.
struct append_log {
    log_stream stream{log_stream::config};
    writer_sequence sequence;
    std::uint32_t attempt{0};
    std::string data;
};

enum class append_outcome : std::uint8_t {
    /// The record is in the log and changed the state.
    accepted,
    /// The record is in the log and was dropped; `apply_result` holds the reason.
    dropped,
    /// The record may already be in the log or may still reach it.
    unknown,
    /// The record was never sent to the log.
    not_sent,
};

auto operator<<(std::ostream& os, append_outcome outcome) -> std::ostream&;

/// Outcome of a submitted record. After `unknown` a second outcome may follow.
struct append_settled {
    log_stream stream{log_stream::config};
    writer_sequence sequence;
    append_outcome outcome{append_outcome::unknown};
    apply_result result;
};

/// Reports that the applied state of the stream has changed.
struct stream_changed {
    log_stream stream{log_stream::config};
};

/// Requests a copy of the state from other instances. The copy is passed to
/// `log_follower::on_state_copy`.
struct request_state_copy {};

using log_action =
    std::variant<read_log, append_log, append_settled, stream_changed, request_state_copy>;
using log_actions = std::vector<log_action>;

} // namespace cornelswitch
