#pragma once

#include "cli/blocking_log.h"
#include "config/config_state.h"
#include "config/configuration.h"
#include "core/error.h"

#include <functional>
#include <optional>
#include <string>

namespace cornelswitch {

/// Outcome of publishing one configuration.
struct publish_outcome {
    /// Whether the own record was accepted.
    bool won{false};
    /// Version of the own record, or of the one that won.
    config_version version;
    /// Writer of the record that won.
    record_header winner;
};

/// Reads and publishes the configuration in the log, one blocking call at a time.
class config_client {
public:
    /// `writer` names this process; its boot id must be drawn anew for each process.
    config_client(blocking_log& log, record_header writer);

    /// Folds the log up to its end. Errors: those of `log_service::read`; `not_found` when
    /// retention has dropped the current configuration and no snapshot of it is left.
    auto refresh() -> result<void>;
    auto version() const -> config_version { return state_.version(); }
    auto text() const -> const std::string& { return state_.text(); }
    /// Writer of the current version.
    auto current_writer() const -> const record_header& { return current_writer_; }
    /// The configuration of `version()`; an empty one when nothing is published. Errors:
    /// `invalid_message` when the published text is not valid.
    auto current() const -> result<configuration>;

    /// Appends `text` under the condition that `expected` is still the current version, and reads
    /// the log back to learn which record won. A lost answer is followed by reading and, when the
    /// record is not there, by appending the same record again. Errors: `too_large`; `unavailable`
    /// and `timeout` when the outcome cannot be learned: the record may still win then.
    auto publish(const std::string& text, config_version expected) -> result<publish_outcome>;

    /// Changes the configuration; returns false when nothing has to be changed.
    using edit_function = std::function<result<bool>(configuration&)>;
    /// Applies `edit` to the current configuration and publishes the result, again after each lost
    /// race. Returns the current version after the edit. Errors: those of `publish`, `current` and
    /// `edit`; `conflict` after `max_races` lost races.
    auto edit(const edit_function& edit) -> result<config_version>;

    /// Lost races after which an edit gives up.
    static constexpr int max_races = 16;

private:
    /// Replaces the state by that of a snapshot after retention has dropped records.
    auto restart_from_snapshot(log_offset first) -> result<void>;
    auto apply(const log_record& record) -> void;

    blocking_log& log_;
    record_header writer_;
    config_state state_;
    /// Writer of the current version.
    record_header current_writer_;
    /// What became of the record that is being published.
    std::optional<publish_outcome> outcome_;
};

} // namespace cornelswitch
