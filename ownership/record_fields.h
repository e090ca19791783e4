#pragma once

#include "ownership/records.h"

#include <tuple>

/// Order of the fields in the encoding of the records. Included by codecs only.
namespace cornelswitch {

inline auto fields(cell_member& it)
{
    return std::tie(it.instance, it.boot);
}

inline auto fields(cell_record& it)
{
    return std::tie(it.cell, it.replaces, it.zone, it.members, it.servers, it.yield_after_ms,
                    it.replaces_active);
}

inline auto fields(table_entry& it)
{
    return std::tie(it.service, it.hash_slots);
}

inline auto fields(assignment_entry& it)
{
    return std::tie(it.service, it.slots, it.server, it.replaces);
}

inline auto fields(split_entry& it)
{
    return std::tie(it.service, it.key, it.parent, it.server, it.replaces);
}

inline auto fields(merge_entry& it)
{
    return std::tie(it.service, it.key, it.replaces);
}

inline auto fields(assignment_record& it)
{
    return std::tie(it.tables, it.entries, it.splits, it.merges);
}

inline auto fields(release_entry& it)
{
    return std::tie(it.service, it.slots, it.epoch);
}
inline auto fields(release_record& it)
{
    return std::tie(it.cell, it.entries);
}

inline auto fields(transfer_entry& it)
{
    return std::tie(it.service, it.slots, it.epoch, it.server);
}

inline auto fields(transfer_record& it)
{
    return std::tie(it.cell, it.entries);
}
inline auto fields(claim_record& it)
{
    return std::tie(it.cell, it.membership_epoch, it.stopped_by);
}
inline auto fields(objection_record& it)
{
    return std::tie(it.cell, it.claim_epoch);
}

inline auto fields(takeover_record& it)
{
    return std::tie(it.cell, it.membership_epoch, it.claim_epoch, it.stopped_by);
}

inline auto fields(removal_record& it)
{
    return std::tie(it.servers, it.services);
}

inline auto fields(server_state_record& it)
{
    return std::tie(it.cell, it.server, it.lost);
}

inline auto fields(snapshot_chunk& it)
{
    return std::tie(it.end, it.digest, it.index, it.count, it.bytes);
}

} // namespace cornelswitch
