#pragma once

#include "config/settings.h"
#include "core/error.h"
#include "core/logger.h"

#include <memory>
#include <string>

namespace cornelswitch {

/// Writes log lines as JSON through log4cxx's own JSON layout, to standard output or a file.
/// Fields: `timestamp`, `level`, `logger`, `message`, and in `context_map` `instance`, `zone`,
/// `step` and `peer`. May be called from any thread.
class json_logger final : public logger {
public:
    /// `message`, `step` and `peer` are truncated to this size.
    static constexpr std::size_t max_message_bytes = 4096;

    /// Errors: `unavailable` when the output file cannot be opened.
    static auto open(const settings& options) -> result<std::unique_ptr<json_logger>>;
    ~json_logger() override;

    auto log(log_level level, std::string_view step, std::string_view peer,
             std::string_view message) -> void override;

private:
    struct output;
    json_logger(const settings& options, std::unique_ptr<output> output);

    std::string instance_;
    std::string zone_;
    std::unique_ptr<output> output_;
};

} // namespace cornelswitch
