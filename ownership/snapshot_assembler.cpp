#include "ownership/snapshot_assembler.h"

#include "core/hash.h"
#include "ownership/snapshot_codec.h"

#include <utility>

namespace cornelswitch {

namespace {

constexpr std::size_t max_chunks = max_snapshot_bytes / snapshot_chunk_bytes;

} // namespace

auto snapshot_assembler::add(const snapshot_chunk& chunk) -> void
{
    auto too_large = chunk.count > max_chunks || chunk.bytes.size() > snapshot_chunk_bytes;
    auto is_outdated = newest_ && chunk.end <= newest_->end();
    if (chunk.index >= chunk.count || too_large || is_outdated || chunk.bytes.empty()) {
        return;
    }
    auto id = snapshot_key{chunk.end.value(), chunk.digest, chunk.count};
    auto [it, added] = partial_snapshots_.try_emplace(id);
    if (added) {
        it->second = {std::vector<std::string>(chunk.count), chunk.count};
    }
    auto& parts = it->second.parts;
    if (!parts[chunk.index].empty()) {
        return;
    }
    parts[chunk.index] = chunk.bytes;
    if (--it->second.missing == 0) {
        complete(id, it->second);
    } else if (partial_snapshots_.size() > max_partial) {
        partial_snapshots_.erase(partial_snapshots_.begin());
    }
}

auto snapshot_assembler::take() -> std::optional<ownership_state>
{
    partial_snapshots_.clear();
    return std::exchange(newest_, std::nullopt);
}

auto snapshot_assembler::complete(const snapshot_key& id, const partial_snapshot& it) -> void
{
    std::string bytes;
    for (const auto& part : it.parts) {
        bytes += part;
    }
    if (hash_bytes(bytes) == std::get<1>(id)) {
        auto decoded = snapshot_codec::decode(bytes);
        if (decoded && decoded.value().end().value() == std::get<0>(id)) {
            newest_ = std::move(decoded).value();
        }
    }
    partial_snapshots_.erase(id);
    if (newest_) {
        // Older snapshots are no longer needed.
        partial_snapshots_.erase(
            partial_snapshots_.begin(),
            partial_snapshots_.lower_bound(snapshot_key{newest_->end().value(), 0, 0}));
    }
}

} // namespace cornelswitch
