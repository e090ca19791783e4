#pragma once

#include "core/error.h"
#include "ownership/grant_messages.h"

#include <string>
#include <string_view>

namespace cornelswitch {

/// JSON bodies of the grant endpoints, as a backend server reads and writes them.

/// Errors: `invalid_message`.
auto parse_grant_message(std::string_view body) -> result<grant_message>;
auto to_json_text(const grant_reply& reply) -> std::string;
/// Response to `GET /_cornelswitch/grants`: the reply's fields and the held grants.
auto to_json_text(const grant_reply& reply, const std::vector<grant_group>& held) -> std::string;

/// Reads `OFFSET.MINOR`. Errors: `invalid_message`.
auto parse_epoch_text(std::string_view text) -> result<slot_epoch>;
auto epoch_text(const slot_epoch& epoch) -> std::string;

} // namespace cornelswitch
