#pragma once

#include "config/configuration.h"
#include "core/error.h"
#include "core/ids.h"

#include <string>
#include <string_view>

namespace cornelswitch {

/// An instance that may take roles for the whole fleet, such as reading the store or coordinating a
/// service. An instance offers itself only when its share of processor time is large enough, or
/// when no such candidate is available, see `fleet_view::should_announce`.
struct candidate {
    instance_id id;
    zone_id zone;
    /// Address at which other instances connect to it.
    endpoint address;
    /// Processor time available to its machine, as a share of one core.
    double cpu_share{0};

    friend auto operator==(const candidate&, const candidate&) -> bool = default;
};

/// Encodes the store's record of a candidate as JSON. The record's key, the instance id, is not
/// part of it.
auto encode_candidate(const candidate& record) -> std::string;
/// Errors: `invalid_message`.
auto decode_candidate(std::string_view id, std::string_view json_text) -> result<candidate>;

} // namespace cornelswitch
