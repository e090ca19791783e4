#pragma once

#include "config/record_header.h"
#include "core/error.h"
#include "core/ids.h"

#include <string>
#include <string_view>
#include <variant>

/// Records of log stream `config`.
namespace cornelswitch {

/// Largest published configuration, in bytes of YAML text.
inline constexpr std::size_t max_config_bytes = std::size_t{1024} * 1024;

/// Publishes `text` if `replaces` is still the current version (0 if nothing is published yet).
struct config_change {
    config_version replaces;
    std::string text;
    friend auto operator==(const config_change&, const config_change&) -> bool = default;
};

/// Repeats the version and text that are current before offset `end`, so that they remain in the
/// log when retention removes the record that published them.
struct config_snapshot {
    log_offset end;
    config_version version;
    std::string text;
    friend auto operator==(const config_snapshot&, const config_snapshot&) -> bool = default;
};

struct config_record {
    record_header header;
    std::variant<config_change, config_snapshot> body;
    friend auto operator==(const config_record&, const config_record&) -> bool = default;
};

auto encode_config_record(const config_record& record) -> std::string;
/// Errors: `invalid_message` if `bytes` is malformed or too large.
auto decode_config_record(std::string_view bytes) -> result<config_record>;

} // namespace cornelswitch
