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
    /// Whether this client's record became the current version.
    bool published{false};
    /// Current version: that of this client's record, or of the record accepted instead.
    config_version version;
    /// Writer of `version`, see `config_client::current_writer`.
    record_header version_writer;
};

/// Reads and publishes the configuration in the log, one blocking call at a time.
class config_client {
public:
    /// `writer` identifies this process; its boot id must be a new random number for each process.
    config_client(blocking_log& log, record_header writer);

    /// Applies the records of the log up to its end. Errors: those of `log_service::read`;
    /// `not_found` when retention has dropped the current configuration and no snapshot of it is
    /// left; `invalid_message` when the log returns no records before its end.
    auto refresh() -> result<void>;
    auto version() const -> config_version { return state_.version(); }
    auto text() const -> const std::string& { return state_.text(); }
    /// Writer of the current version; after a start from a snapshot, the writer of the snapshot.
    auto current_writer() const -> const record_header& { return current_writer_; }
    /// The configuration of `version()`; an empty one when nothing is published. Errors:
    /// `invalid_message` when the published text is not valid.
    auto current() const -> result<configuration>;

    /// Appends a record that replaces version `expected` by `text`, and reads the log back to see
    /// whether the record was accepted. If the record is not in the log, because an append or a
    /// read failed, the same record is appended again; a duplicate of an accepted record has no
    /// effect. Errors: `too_large`; `unavailable` and `timeout` when the outcome remains unknown:
    /// the record may still be accepted then.
    auto publish(const std::string& text, config_version expected) -> result<publish_outcome>;

    /// Changes the configuration; returns whether it changed.
    using edit_function = std::function<result<bool>(configuration&)>;
    /// Applies `edit` to the current configuration and publishes the result. If another change was
    /// published first, the edit is applied again to the new configuration. Returns the current
    /// version after the edit. Errors: those of `refresh`, `publish`, `current` and `edit`;
    /// `not_found` when no configuration is published; `conflict` after `max_conflicts` conflicts.
    auto edit(const edit_function& edit) -> result<config_version>;

    /// Number of conflicts with other changes after which an edit fails.
    static constexpr int max_conflicts = 16;

private:
    /// Replaces the state by the first usable snapshot at or after offset `first`. Called when
    /// retention has dropped records that are not applied yet.
    auto restart_from_snapshot(log_offset first) -> result<void>;
    auto apply(const log_record& record) -> void;

    blocking_log& log_;
    record_header writer_;
    config_state state_;
    /// See `current_writer()`.
    record_header current_writer_;
    /// Outcome of the record being published; none until the record has been read back.
    std::optional<publish_outcome> outcome_;
};

} // namespace cornelswitch
