#pragma once

namespace cornelswitch {

/// Rules that ensure that a slot has at most one owner. All are on in production; a test switches
/// one off to show that its invariant checks detect the fault that the rule prevents.
struct safety_rules {
    /// A voter refuses a lease while another holder's lease is valid.
    bool voter_respects_lease{true};
    /// A voter refuses a term that is not higher than every term it has promised.
    bool voter_respects_term{true};
    /// A process does not vote for one lease duration after its start.
    bool abstain_after_start{true};
    /// A new member copies the registers from a majority of the previous members before it votes.
    bool copy_registers_before_vote{true};
    /// A membership becomes active only after a majority of its predecessor has acknowledged it and
    /// one lease duration has passed since.
    bool activation_waits{true};
    /// A lease is valid from the send time of its request, for its duration less the clock drift.
    bool lease_from_send_time{true};
    /// Registers refuse writes with a term below the promised one.
    bool registers_check_term{true};
    /// A new dispatcher reads the registers of a majority before it grants.
    bool read_registers_at_takeover{true};
    /// Transfers wait until the grants of the lost server have expired.
    bool transfer_waits_for_expiry{true};
    /// A majority must have accepted a transfer before the slot may be granted to the target.
    bool transfer_needs_majority{true};
    /// Release records are appended only after a majority of the members has stored the release in
    /// its registers.
    bool release_needs_register{true};
    /// A cell that cannot read the log stops granting after `yield_after`.
    bool yield_without_log{true};
};

} // namespace cornelswitch
