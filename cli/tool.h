#pragma once

#include "cli/exit_code.h"

#include <ostream>
#include <string>
#include <vector>

namespace cornelswitch {

/// Runs the tool with the arguments of the command line, without the program's name. Results are
/// written to `out`, errors to `err`.
auto run_tool(const std::vector<std::string>& words, std::ostream& out, std::ostream& err)
    -> exit_code;

} // namespace cornelswitch
