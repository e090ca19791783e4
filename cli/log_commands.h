#pragma once

#include "cli/command.h"
#include "ownership/log_service.h"

#include <vector>

namespace cornelswitch {

/// Commands that read the log.
auto log_commands() -> std::vector<command>;

/// JSON summary of one record: offset, kind, writer and details; kind `malformed` with the error
/// when the record cannot be decoded.
auto describe_record(log_stream stream, const log_record& record) -> nlohmann::json;

} // namespace cornelswitch
