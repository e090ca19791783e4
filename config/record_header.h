#pragma once

#include "core/ids.h"

namespace cornelswitch {

/// Identifies one record of a log stream. A second record with the same header has no effect, so a
/// writer can append a record again if it received no acknowledgement.
struct record_header {
    instance_id writer;
    boot_id boot;
    writer_sequence sequence;

    friend auto operator==(const record_header&, const record_header&) -> bool = default;
};

} // namespace cornelswitch
