#pragma once

#include "config/config_problem.h"
#include "config/configuration.h"

#include <string>
#include <string_view>

namespace cornelswitch {

/// Reads a configuration from YAML and checks it as a whole: types, ranges, unknown fields,
/// duplicate ids and addresses, and references. Returns all problems; never throws. `file` is the
/// name of the text in problems.
auto read_configuration(std::string_view text, const std::string& file) -> checked<configuration>;

/// Like `read_configuration`, with the text of a file. An unreadable file is a problem too.
auto read_configuration_file(const std::string& path) -> checked<configuration>;

} // namespace cornelswitch
