#pragma once

#include "config/configuration.h"

#include <string>

namespace cornelswitch {

/// YAML text from which `read_configuration` reads an equal configuration. Every field is written,
/// so that a published configuration keeps its meaning when a release changes a default.
auto write_configuration(const configuration& value) -> std::string;

} // namespace cornelswitch
