#pragma once

#include "cli/command.h"

#include <vector>

namespace cornelswitch {

/// Commands that read or change the published configuration.
auto config_commands() -> std::vector<command>;

} // namespace cornelswitch
