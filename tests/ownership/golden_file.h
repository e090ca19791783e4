#pragma once

#include <string>

namespace cornelswitch::test {

/// Compares `text` with tests/golden/NAME.txt. Returns the lines that differ, with `-` before those
/// of the file and `+` before those of `text`; empty when they are equal. If the environment
/// variable CORNELSWITCH_UPDATE_GOLDEN is set, writes the file instead.
auto golden_difference(const std::string& name, const std::string& text) -> std::string;

} // namespace cornelswitch::test
