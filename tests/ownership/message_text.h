#pragma once

#include "daemon/messages.h"
#include "ownership/cell_messages.h"
#include "ownership/grant_messages.h"
#include "ownership/records.h"

#include <string>

namespace cornelswitch::test {

/// Text of a message for traces and golden files, in one line; empty for heartbeats, renewals and
/// their answers.
auto to_text(const cell_message& message) -> std::string;
auto to_text(const dispatcher_message& message) -> std::string;
auto to_text(const grant_message& message) -> std::string;
auto to_text(const record_body& body) -> std::string;

} // namespace cornelswitch::test
