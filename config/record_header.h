#pragma once

#include "core/ids.h"

namespace cornelswitch {

/// Identifies one record of a log stream. The state drops a second record with the same header, so
/// that a writer may append the same bytes again after a lost answer.
struct record_header {
    instance_id writer;
    boot_id boot;
    writer_sequence sequence;

    friend auto operator==(const record_header&, const record_header&) -> bool = default;
};

} // namespace cornelswitch
