#pragma once

#include "core/error.h"
#include "ownership/grant_messages.h"

#include <string>
#include <string_view>
#include <vector>

/// JSON bodies of `/_cornelswitch/grants`, see section 4 of the design page.
namespace cornelswitch {

/// Body of `POST /_cornelswitch/grants`.
auto to_json(const grant_message& message) -> std::string;
/// Parses the body of a POST; unknown members are ignored. Errors: `invalid_message`.
auto parse_grant_message(std::string_view body) -> result<grant_message>;

/// Body of the response to a POST. It does not contain `refused_term`, which the HTTP status
/// conveys.
auto to_json(const grant_reply& reply) -> std::string;
/// Parses the server's response. `status` is 200, or 409 when the message's term was older than the
/// server's. Errors: `invalid_message`, also for any other status.
auto parse_grant_reply(int status, std::string_view body) -> result<grant_reply>;

/// Body of the response to `GET /_cornelswitch/grants`: the server's state and the grants it holds.
auto to_json(const grant_reply& state, const std::vector<grant_group>& held) -> std::string;

} // namespace cornelswitch
