#pragma once

#include "core/strong_id.h"

#include <string>

namespace cornelswitch {

/// Name of a workspace, a customer of the deployment whose requests are recognized by API keys.
using workspace_id = strong_id<struct workspace_id_tag, std::string>;

} // namespace cornelswitch
