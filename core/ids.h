#pragma once

#include "core/strong_id.h"

#include <cstdint>
#include <string>

namespace cornelswitch {

/// Name of one running `cornelswitchd`, unique in the deployment.
using instance_id = strong_id<struct instance_id_tag, std::string>;
/// Random number that identifies one process run of an instance; 0 means unknown.
using boot_id = strong_id<struct boot_id_tag, std::uint64_t>;
/// Name of an availability zone.
using zone_id = strong_id<struct zone_id_tag, std::string>;
/// Number of a cell, a group of instances.
using cell_id = strong_id<struct cell_id_tag, std::uint32_t>;
/// Name of a backend server, unique in the deployment.
using server_id = strong_id<struct server_id_tag, std::string>;
using service_id = strong_id<struct service_id_tag, std::string>;
using profile_id = strong_id<struct profile_id_tag, std::string>;
using tenant_id = strong_id<struct tenant_id_tag, std::string>;
/// Index of a slot within its service. The slots of split-off hot keys follow the hash slots.
using slot_index = strong_id<struct slot_index_tag, std::uint32_t>;
/// XXH3 hash of a key.
using key_hash = strong_id<struct key_hash_tag, std::uint64_t>;
/// Offset of a record in a log stream.
using log_offset = strong_id<struct log_offset_tag, std::uint64_t>;
/// Version of a published configuration: log offset + 1 of its record; 0 means none.
using config_version = strong_id<struct config_version_tag, std::uint64_t>;
/// Term of a dispatcher lease, which increases with each takeover; 0 means none.
using lease_term = strong_id<struct lease_term_tag, std::uint64_t>;
/// Number of the store's state, which increases with each restore of the store from a copy; 0 means
/// a store that has no eras.
using store_era = strong_id<struct store_era_tag, std::uint64_t>;
/// Sequence number of a record, unique for an instance id and boot id of the writer.
using writer_sequence = strong_id<struct writer_sequence_tag, std::uint64_t>;
/// Number of a request, unique within one process run of a dispatcher.
using request_id = strong_id<struct request_id_tag, std::uint64_t>;

} // namespace cornelswitch
